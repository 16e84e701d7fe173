"""Answers merged over several entries."""

from __future__ import annotations

import msgspec
import pytest

from borageward.failures import Failure, FailureReason
from borageward.language import (
    AnswerFormat,
    EntryStatus,
    answer_from,
    answer_request,
    format_answer,
    parse_sentence,
    run_query,
)
from borageward.messages.query import (
    EntrySnapshot,
    JobRow,
    JobState,
    WorkerRow,
)

_FORWARDED = JobRow('job-1', 'dispatch', JobState.WAITING, 2500)
_RUNNING = JobRow(
    'job-1',
    'dispatch',
    JobState.RUNNING,
    2400,
    ('reorder',),
    ('nadi-depot',),
    ('worker-01',),
    tasks=3,
    finished=1,
)
_REFUSED = JobRow(
    'job-2',
    'forecast\nforged',
    JobState.REFUSED,
    100,
    reason=FailureReason.OVERLOADED,
)
_OLD_LOAD = WorkerRow(
    'worker-01', 'nadi-depot', 'dispatch', 7, 8, 8, 0, age_ms=900
)
_NEW_LOAD = WorkerRow(
    'worker-01', 'nadi-depot', 'dispatch', 7, 8, 2, 1, age_ms=20, leaving=True
)
_FIRST = EntrySnapshot(
    'entry-1', 'nadi-depot', 1, 5, (_FORWARDED, _REFUSED), (_OLD_LOAD,)
)
_SECOND = EntrySnapshot(
    'entry-2', 'lautoka-yard', 2, 5, (_RUNNING,), (_NEW_LOAD,)
)
_ENTRIES = (EntryStatus('entry-1', _FIRST, 12), EntryStatus('entry-2', _SECOND))
_LOST = EntryStatus('entry-3', Failure(FailureReason.TIMEOUT, 'no reply'))


class _Source:
    def snapshot(self):
        return _FIRST


@pytest.mark.parametrize('form', AnswerFormat)
@pytest.mark.parametrize('sentence', ['show jobs', 'show workers'])
def test_answer_text(sentence, form, snapshot):
    """Guards against lost rows, sources or ages in any of the forms."""
    answer = run_query(parse_sentence(sentence), (*_ENTRIES, _LOST))
    assert not answer.complete
    assert format_answer(answer, form) == snapshot


def test_forwarded_job_is_listed_once():
    """Guards against one job counted at both entries that know it."""
    answer = run_query(parse_sentence('show jobs of dispatch'), _ENTRIES)
    assert [row[0] for row in answer.rows] == ['job-1']
    assert answer.rows[0][2] == 'running'
    assert answer.complete


def test_state_is_filtered_after_the_merge():
    """Guards against a running job shown as waiting by a forwarding entry."""
    answer = run_query(parse_sentence('show waiting jobs'), _ENTRIES)
    assert not answer.rows


def test_no_entry_is_not_a_complete_answer():
    """Guards against an empty answer that looks like an idle system."""
    assert not run_query(parse_sentence('show jobs'), ()).complete


def test_limit_is_reported():
    """Guards against rows that are left out in silence."""
    query = parse_sentence('show jobs')
    found = answer_from(query, _Source(), 1)
    assert len(found.jobs) == 1
    answer = run_query(query, (EntryStatus('entry-1', found),))
    assert not answer.complete
    assert '1 more rows left out' in format_answer(answer, AnswerFormat.LINES)


@pytest.mark.parametrize(
    ('body', 'message'),
    [
        (b'{', 'truncated'),
        (b'{"sentence": "show job"}', 'column 6'),
        (b'{"sentence": "show limits"}', 'only'),
        (b'{"sentence": "require approval"}', 'only'),
        (b'{"sentence": "show jobs", "limit": 0}', 'limit'),
    ],
)
def test_wrong_request_is_a_typed_failure(body, message):
    """Guards against an entry that raises on an operator's mistake."""
    outcome = answer_request(body, _Source())
    assert outcome.reason is FailureReason.INVALID_REQUEST
    assert message in outcome.detail


def test_request_is_answered_as_json():
    """Guards against an answer that the command line cannot read."""
    body = answer_request(b'{"sentence": "show refused jobs"}', _Source())
    found = msgspec.json.decode(body, type=EntrySnapshot)
    assert found.jobs == (_REFUSED,)
