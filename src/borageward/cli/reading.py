"""Commands that run queries and show history, revisions and replicas.

A query sentence may also cancel a job.
"""

from __future__ import annotations

import datetime

import msgspec
import trio

from borageward.cli.controlcalls import (
    ControlCalls,
    open_control,
    read_replica,
)
from borageward.cli.entrycalls import cancel_job, query_entries
from borageward.cli.exits import ExitCode, Report
from borageward.cli.target import Target
from borageward.configuration import encode_configuration
from borageward.failures import Failure, FailureReason
from borageward.language import (
    Answer,
    AnswerFormat,
    CancelJob,
    Query,
    Source,
    Subject,
    format_answer,
    parse_sentence,
    run_query,
    sentence_of,
)
from borageward.language.controlrows import (
    configuration_answer,
    members_answer,
)
from borageward.messages.control import (
    ControlStatus,
    History,
    HistoryItem,
    ReadHistory,
)
from borageward.transport import Address

_MS_PER_SECOND = 1000
_HISTORY_COLUMNS = (
    'revision',
    'when',
    'author',
    'approver',
    'reason',
    'change',
)
_STATUS_COLUMNS = (
    'address',
    'voter',
    'role',
    'term',
    'commit',
    'revision',
    'claims',
    'voters',
    'learners',
)


async def answer_query(
    target: Target,
    sentence: str,
    form: AnswerFormat,
) -> Report | Failure:
    """Run a sentence that is a query or cancels a job.

    Queries on jobs and workers go to the entries, all others to control.
    Returns ``INVALID_REQUEST`` for a configuration change, or if the query
    needs an entry and the target has none.
    """
    parsed = parse_sentence(sentence)
    if isinstance(parsed, Failure):
        return parsed
    if isinstance(parsed, CancelJob):
        outcome = await cancel_job(target, parsed)
        return outcome if isinstance(outcome, Failure) else Report(outcome)
    if not isinstance(parsed, Query):
        return Failure(
            FailureReason.INVALID_REQUEST,
            'this is a configuration change; use "plan" and "apply"',
        )
    if parsed.subject.from_entries:
        if not target.entries:
            detail = 'no entry given; use --entry ADDRESS,...'
            return Failure(FailureReason.INVALID_REQUEST, detail)
        return _report(
            run_query(parsed, await query_entries(target, sentence)),
            form,
        )
    async with open_control(target) as control:
        answer = await _query_control(control, parsed)
    return answer if isinstance(answer, Failure) else _report(answer, form)


async def read_history(target: Target, limit: int) -> Report | Failure:
    """Report the latest configuration changes, newest first."""
    async with open_control(target) as control:
        requested_at_ms = control.clock.now_ms()
        reply = await control.call(ReadHistory(limit), History)
        age_ms = control.clock.now_ms() - requested_at_ms
    if isinstance(reply, Failure):
        return reply
    rows = tuple(map(_history_row, reply.history))
    source = Source('control', age_ms)
    return _report(
        Answer(_HISTORY_COLUMNS, rows, (source,)),
        AnswerFormat.TABLE,
    )


async def show_revision(target: Target, number: int) -> Report | Failure:
    """Report the configuration of a revision as JSON; 0 means the newest."""
    async with open_control(target) as control:
        revision = await control.read_revision(number)
    if isinstance(revision, Failure):
        return revision
    document = encode_configuration(revision.configuration)
    text = msgspec.json.format(document).decode()
    return Report(f'revision {revision.number}\n{text}')


async def read_status(target: Target) -> Report:
    """Report the state of each control replica.

    Each replica is called directly, so this works without a leader. Replicas
    that do not reply are named and make the exit code ``INCOMPLETE``.
    """
    statuses: dict[str, ControlStatus | Failure] = {}
    async with trio.open_nursery() as nursery:
        for address in target.control:
            nursery.start_soon(_store_replica_status, target, address, statuses)
    sources = [
        Source(name, failure=status if isinstance(status, Failure) else None)
        for name, status in sorted(statuses.items())
    ]
    rows = [
        _status_row(name, status)
        for name, status in sorted(statuses.items())
        if isinstance(status, ControlStatus)
    ]
    answer = Answer(_STATUS_COLUMNS, tuple(rows), tuple(sources))
    return _report(answer, AnswerFormat.TABLE)


async def _store_replica_status(
    target: Target,
    address: Address,
    statuses: dict[str, ControlStatus | Failure],
) -> None:
    statuses[str(address)] = await read_replica(target, address)


async def _query_control(
    control: ControlCalls,
    query: Query,
) -> Answer | Failure:
    requested_at_ms = control.clock.now_ms()
    if query.subject is Subject.MEMBERS:
        members = await control.read_members()
        if isinstance(members, Failure):
            return members
        age_ms = control.clock.now_ms() - requested_at_ms
        return members_answer(query, members, Source('control', age_ms))
    revision = await control.read_revision()
    if isinstance(revision, Failure):
        return revision
    age_ms = control.clock.now_ms() - requested_at_ms
    source = Source(f'control revision {revision.number}', age_ms)
    return configuration_answer(query, revision.configuration, source)


def _report(answer: Answer, form: AnswerFormat) -> Report:
    code = ExitCode.DONE if answer.complete else ExitCode.INCOMPLETE
    return Report(format_answer(answer, form), code)


def _history_row(change: HistoryItem) -> tuple[str, ...]:
    when = datetime.datetime.fromtimestamp(
        change.wall_ms / _MS_PER_SECOND,
        datetime.UTC,
    )
    row = [
        str(change.revision),
        when.isoformat(timespec='seconds') if change.wall_ms else '',
        change.author,
        change.approver,
        change.reason,
        sentence_of(change.change) if change.change else '',
    ]
    return tuple(row)


def _status_row(name: str, status: ControlStatus) -> tuple[str, ...]:
    is_leader = status.leader in {name, status.voter_id}
    row = [
        name,
        status.voter_id,
        'leader' if is_leader else 'follower',
        str(status.term),
        str(status.commit_index),
        str(status.revision),
        str(status.claims),
        ','.join(status.voters),
        ','.join(status.learners),
    ]
    return tuple(row)
