"""Judges a run by the runners' journals and the callers' answers alone."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

import attrs

Start = tuple[str, int]


@attrs.frozen(slots=True)
class Exchange:
    """One job as a caller sent it, and the answer that the caller got.

    ``started`` holds the tasks of the job that the journals showed when the
    answer arrived.
    """

    body: dict[str, Any]
    answer: dict[str, Any]
    started: frozenset[int] = frozenset()

    @property
    def job(self) -> str:
        """Return the id of the job."""
        return self.body['id']


@attrs.frozen(slots=True)
class Violation:
    """A broken invariant with the job and task it concerns."""

    invariant: str
    job: str
    task: int | None = None


def find_violations(
    journal: Iterable[Start],
    exchanges: Iterable[Exchange],
) -> list[Violation]:
    """Return every violation of the invariants about starts and answers.

    A caller that submits a job again after "not run" asks for a new run, so an
    earlier refusal is judged by the journals of its own time.
    """
    starts = collections.Counter(journal)
    exchanges = list(exchanges)
    last = {exchange.job: exchange for exchange in exchanges}
    violations = [
        Violation('started more than once', job, task)
        for (job, task), count in starts.items()
        if count > 1
    ]
    for exchange in exchanges:
        known = starts
        if last[exchange.job] is not exchange:
            known = collections.Counter(
                (exchange.job, index) for index in exchange.started
            )
        violations.extend(_check_exchange(known, exchange))
    return violations


def _check_exchange(
    starts: collections.Counter[Start],
    exchange: Exchange,
) -> list[Violation]:
    job = exchange.job
    if exchange.answer.get('id') != job:
        return [Violation('answer to another request', job)]
    if exchange.answer['state'] == 'complete':
        return _check_complete(starts, exchange)
    if exchange.answer['state'] in {'failed', 'refused'}:
        return _check_failed(starts, exchange)
    return []


def _check_complete(
    starts: collections.Counter[Start],
    exchange: Exchange,
) -> list[Violation]:
    job = exchange.job
    expected = list(range(len(exchange.body['tasks'])))
    answered = [found['index'] for found in exchange.answer['results']]
    violations = []
    if answered != expected:
        violations.append(Violation('answer is partial', job))
    for found in exchange.answer['results']:
        if found.get('result') != _echo(exchange, found['index']):
            violations.append(
                Violation('result of another task', job, found['index']),
            )
    for index in expected:
        if not starts[job, index]:
            violations.append(Violation('answered, not started', job, index))
    return violations


def _echo(exchange: Exchange, index: int) -> Any:
    """Return what the runner echoes for a task: its job and index."""
    task = exchange.body['tasks'][index]
    return task.get('payload', {}).get('echo')


def _check_failed(
    starts: collections.Counter[Start],
    exchange: Exchange,
) -> list[Violation]:
    job = exchange.job
    violations = []
    if 'results' in exchange.answer:
        violations.append(Violation('failed answer carries results', job))
    not_run = [
        task['index']
        for task in exchange.answer.get('tasks', ())
        if task['run_state'] == 'not_run'
    ]
    if exchange.answer.get('run_state') == 'not_run':
        not_run.extend(range(len(exchange.body['tasks'])))
    for index in sorted(set(not_run)):
        if starts[job, index]:
            violations.append(Violation('not_run, but started', job, index))
    return violations
