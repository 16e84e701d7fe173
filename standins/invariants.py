"""Checks of a test run against the dispatcher's guarantees to callers.

They use only the journals of the runners and the answers that callers got.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

import attrs

Start = tuple[str, int]


@attrs.frozen(slots=True)
class Exchange:
    """A submitted job and its answer.

    ``started`` holds the indexes of the tasks of the job that the journals
    recorded as started when the answer arrived.
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
    """A violated invariant, with the job id and task index it concerns.

    ``task`` is ``None`` if the whole job is concerned.
    """

    invariant: str
    job: str
    task: int | None = None


def find_violations(
    journal: Iterable[Start],
    exchanges: Iterable[Exchange],
) -> list[Violation]:
    """Return the violations of the invariants about starts and answers.

    ``journal`` holds the job id and task index of every start. A job that is
    resubmitted after "not run" may run then, so every answer but the last of
    a job is checked against the starts recorded when it arrived.
    """
    starts = collections.Counter(journal)
    exchanges = list(exchanges)
    last_exchanges = {exchange.job: exchange for exchange in exchanges}
    violations = [
        Violation('started more than once', job, task)
        for (job, task), count in starts.items()
        if count > 1
    ]
    for exchange in exchanges:
        recorded = starts
        if last_exchanges[exchange.job] is not exchange:
            recorded = collections.Counter(
                (exchange.job, index) for index in exchange.started
            )
        violations.extend(_check_exchange(recorded, exchange))
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
    answered = [result['index'] for result in exchange.answer['results']]
    violations = []
    if answered != expected:
        violations.append(Violation('answer is partial', job))
    for result in exchange.answer['results']:
        if result.get('result') != _expected_result(exchange, result['index']):
            violations.append(
                Violation('result of another task', job, result['index']),
            )
    for index in expected:
        if not starts[job, index]:
            violations.append(Violation('answered, not started', job, index))
    return violations


def _expected_result(exchange: Exchange, index: int) -> Any:
    """Return the result that the runner stand-in echoes for a task."""
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
