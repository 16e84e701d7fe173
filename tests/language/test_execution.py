"""Answers merged from the replies of several entries."""

from __future__ import annotations

import msgspec
import pytest

from borageward.failures import Failure, FailureReason
from borageward.language import (
    AnswerFormat,
    EntryStatus,
    answer_entry_query,
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
_FIRST_SNAPSHOT = EntrySnapshot(
    'entry-1', 'nadi-depot', 1, 5, (_FORWARDED, _REFUSED), (_OLD_LOAD,)
)
_SECOND_SNAPSHOT = EntrySnapshot(
    'entry-2', 'lautoka-yard', 2, 5, (_RUNNING,), (_NEW_LOAD,)
)
_ENTRIES = (
    EntryStatus('entry-1', _FIRST_SNAPSHOT, 12),
    EntryStatus('entry-2', _SECOND_SNAPSHOT),
)
_UNREACHABLE = EntryStatus(
    'entry-3', Failure(FailureReason.TIMEOUT, 'no reply')
)


class _SnapshotSource:
    def snapshot(self):
        return _FIRST_SNAPSHOT


@pytest.mark.parametrize('form', AnswerFormat)
@pytest.mark.parametrize('sentence', ['show jobs', 'show workers'])
def test_answer_text(sentence, form, snapshot):
    """Guards against rows, sources or ages that one text form leaves out.

    One of the three entries does not reply, and one cell holds a line break,
    which could forge a row if it were printed unescaped.
    """
    answer = run_query(parse_sentence(sentence), (*_ENTRIES, _UNREACHABLE))
    assert not answer.complete
    assert format_answer(answer, form) == snapshot


def test_forwarded_job_is_listed_once():
    """Guards against a forwarded job that is counted twice.

    Both the entry that forwarded the job and its owner report it.
    """
    answer = run_query(parse_sentence('show jobs of dispatch'), _ENTRIES)
    assert [row[0] for row in answer.rows] == ['job-1']
    assert answer.rows[0][2] == 'running'
    assert answer.complete


def test_state_is_filtered_after_the_merge():
    """Guards against a running job that is shown as waiting.

    The entry that forwarded the job reports it as waiting. If rows were
    filtered only before the merge, this outdated report would remain.
    """
    answer = run_query(parse_sentence('show waiting jobs'), _ENTRIES)
    assert not answer.rows


def test_no_entry_is_not_a_complete_answer():
    """Guards against an empty answer that looks like an idle system.

    Without any entry to query there are no rows and no failed source.
    """
    assert not run_query(parse_sentence('show jobs'), ()).complete


def test_limit_is_reported():
    """Guards against rows that are left out without notice.

    An entry drops the rows beyond the limit of the request.
    """
    query = parse_sentence('show jobs')
    reply = answer_entry_query(query, _SnapshotSource(), 1)
    assert len(reply.jobs) == 1
    answer = run_query(query, (EntryStatus('entry-1', reply),))
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
    """Guards against an entry that raises an exception on a wrong request.

    The cases are JSON that is cut off, a syntax error, sentences that only
    control handles, and a limit that is out of range.
    """
    outcome = answer_request(body, _SnapshotSource())
    assert outcome.reason is FailureReason.INVALID_REQUEST
    assert message in outcome.detail


def test_request_is_answered_as_json():
    """Guards against a reply that the command line cannot decode."""
    body = answer_request(
        b'{"sentence": "show refused jobs"}', _SnapshotSource()
    )
    reply = msgspec.json.decode(body, type=EntrySnapshot)
    assert reply.jobs == (_REFUSED,)
