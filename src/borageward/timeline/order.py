"""Causal order of the events of several processes.

The wall clocks of hosts differ, so an order by timestamps alone may show a
result before its start. Two rules take precedence over timestamps: events of
one process keep the order of its log, and a message is sent before it is
received, which is known from the steps of each task. All other events are
ordered by timestamp. An event whose timestamp is earlier than that of one of
its causes is treated as if it had the timestamp of that cause.
"""

from __future__ import annotations

import collections
import heapq
import itertools
from collections.abc import Iterator, Sequence
from typing import TypeAlias

import attrs

from borageward.telemetry.events import (
    JOB_ANSWERED,
    JOB_CLAIMED,
    TASK_RUN_FINISHED,
    TASK_STEPS,
)
from borageward.telemetry.steps import parse_index_text
from borageward.timeline.event import Event

# Status of an answer that contains the results of all tasks.
_STATUS_COMPLETE = '200'
_RUN_END = TASK_STEPS.index(TASK_RUN_FINISHED)
# Steps of a task in causal order, and the field that tells repeated runs of
# the task apart. Results carry no attempt, so from the end of the run on this
# is the worker; a guard starts a task at most once.
_STEP_CHAINS = (
    ('attempt', TASK_STEPS[: _RUN_END + 1]),
    ('worker', TASK_STEPS[_RUN_END:]),
)
_NumbersByStep: TypeAlias = dict[str, int]
_NumbersByName: TypeAlias = dict[str, list[int]]


@attrs.define(slots=True, eq=False)
class _Node:
    """Event in the graph of causes and effects.

    ``unplaced_causes`` is the number of direct causes that are not yet part
    of the order; ``effects`` holds the numbers of the events it precedes.
    """

    event: Event
    timestamp_s: float
    unplaced_causes: int = 0
    effects: list[int] = attrs.Factory(list)


def causal_order(events: Sequence[Event]) -> list[Event]:
    """Return the events ordered so that each follows its causes.

    Events that are part of a cycle, or follow one, come last and are ordered
    by timestamp. A run of the system produces no cycle; only logs that
    contradict each other contain one.
    """
    nodes = [_Node(event, event.timestamp_s) for event in events]
    for cause, effect in _edges(events):
        nodes[cause].effects.append(effect)
        nodes[effect].unplaced_causes += 1
    ready = [
        (node.timestamp_s, number)
        for number, node in enumerate(nodes)
        if not node.unplaced_causes
    ]
    heapq.heapify(ready)
    placed: dict[int, Event] = {}
    while ready:
        _, number = heapq.heappop(ready)
        placed[number] = nodes[number].event
        for effect in _release_effects(nodes, number):
            heapq.heappush(ready, (nodes[effect].timestamp_s, effect))
    unplaced = [
        event for number, event in enumerate(events) if number not in placed
    ]
    return [*placed.values(), *sorted(unplaced, key=_timestamp)]


def _release_effects(nodes: list[_Node], number: int) -> Iterator[int]:
    for effect in nodes[number].effects:
        node = nodes[effect]
        node.timestamp_s = max(node.timestamp_s, nodes[number].timestamp_s)
        node.unplaced_causes -= 1
        if not node.unplaced_causes:
            yield effect


def _timestamp(event: Event) -> float:
    return event.timestamp_s


# An edge is a pair of event numbers, of a cause and of its effect.
def _edges(events: Sequence[Event]) -> Iterator[tuple[int, int]]:
    yield from _process_edges(events)
    yield from _task_edges(events)
    jobs: dict[str, _NumbersByName] = {}
    for number, event in enumerate(events):
        job = event.fields.get('job', '')
        by_name = jobs.setdefault(job, collections.defaultdict(list))
        by_name[event.name].append(number)
    jobs.pop('', None)
    for by_name in jobs.values():
        yield from _job_edges(events, by_name)


def _task_edges(events: Sequence[Event]) -> Iterator[tuple[int, int]]:
    for field, names in _STEP_CHAINS:
        tasks: dict[tuple[str, str, int], _NumbersByStep] = {}
        for number, event in enumerate(events):
            if event.name in names:
                for key in _task_keys(event, field):
                    tasks.setdefault(key, {}).setdefault(event.name, number)
        for steps in tasks.values():
            step_numbers = [steps[name] for name in names if name in steps]
            yield from itertools.pairwise(step_numbers)


def _task_keys(event: Event, field: str) -> Iterator[tuple[str, str, int]]:
    job = event.fields.get('job', '')
    field_text = event.fields.get(field, '')
    for index in parse_index_text(event.fields.get('tasks', '')):
        yield job, field_text, index


def _process_edges(events: Sequence[Event]) -> Iterator[tuple[int, int]]:
    by_process: dict[str, list[int]] = collections.defaultdict(list)
    for number, event in enumerate(events):
        by_process[event.process].append(number)
    for numbers in by_process.values():
        yield from itertools.pairwise(numbers)


def _job_edges(
    events: Sequence[Event],
    by_name: _NumbersByName,
) -> Iterator[tuple[int, int]]:
    """Yield edges from the owner's answer to the forwarded answers of a job.

    The owner is the process that logged the claim of the job. Only complete
    answers are considered, as other answers need not come from the owner.
    """
    owners = {events[claim].process for claim in by_name.get(JOB_CLAIMED, [])}
    complete = [
        answer
        for answer in by_name.get(JOB_ANSWERED, [])
        if events[answer].fields.get('status') == _STATUS_COMPLETE
    ]
    owner_answers = [
        answer for answer in complete if events[answer].process in owners
    ]
    for answer in complete:
        if owner_answers and events[answer].process not in owners:
            yield owner_answers[0], answer
