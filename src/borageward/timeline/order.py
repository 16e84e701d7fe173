"""Causal order of events of several processes.

Wall clocks of hosts differ, so stamps alone may show a result before its
start. Two rules order events whatever their stamps: the events of a process
follow its log, and a message is sent before it is received, which the steps
of a task state. Other events follow their stamps, moved behind the events
that caused them.
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

_COMPLETE = '200'
_RUN_END = TASK_STEPS.index(TASK_RUN_FINISHED)
# A result is named by its worker: it carries no attempt, and a guard starts a
# task at most once.
_CHAINS = (
    ('attempt', TASK_STEPS[: _RUN_END + 1]),
    ('worker', TASK_STEPS[_RUN_END:]),
)
_Steps: TypeAlias = dict[str, int]
_Numbers: TypeAlias = dict[str, list[int]]


@attrs.define(slots=True, eq=False)
class _Node:
    """Event with the number of its causes that are not yet placed."""

    event: Event
    stamp_s: float
    waiting_for: int = 0
    effects: list[int] = attrs.Factory(list)


def causal_order(events: Sequence[Event]) -> list[Event]:
    """Return the events so that each follows its causes.

    Contradicting logs, which no run can produce, fall back to stamps.
    """
    nodes = [_Node(event, event.stamp_s) for event in events]
    for cause, effect in _edges(events):
        nodes[cause].effects.append(effect)
        nodes[effect].waiting_for += 1
    ready = [
        (node.stamp_s, number)
        for number, node in enumerate(nodes)
        if not node.waiting_for
    ]
    heapq.heapify(ready)
    placed: dict[int, Event] = {}
    while ready:
        _, number = heapq.heappop(ready)
        placed[number] = nodes[number].event
        for effect in _released(nodes, number):
            heapq.heappush(ready, (nodes[effect].stamp_s, effect))
    rest = [
        event for number, event in enumerate(events) if number not in placed
    ]
    return [*placed.values(), *sorted(rest, key=_stamp)]


def _released(nodes: list[_Node], number: int) -> Iterator[int]:
    for effect in nodes[number].effects:
        node = nodes[effect]
        node.stamp_s = max(node.stamp_s, nodes[number].stamp_s)
        node.waiting_for -= 1
        if not node.waiting_for:
            yield effect


def _stamp(event: Event) -> float:
    return event.stamp_s


def _edges(events: Sequence[Event]) -> Iterator[tuple[int, int]]:
    yield from _process_edges(events)
    yield from _task_edges(events)
    jobs: dict[str, _Numbers] = {}
    for number, event in enumerate(events):
        job = event.fields.get('job', '')
        by_name = jobs.setdefault(job, collections.defaultdict(list))
        by_name[event.name].append(number)
    jobs.pop('', None)
    for by_name in jobs.values():
        yield from _job_edges(events, by_name)


def _task_edges(events: Sequence[Event]) -> Iterator[tuple[int, int]]:
    for field, names in _CHAINS:
        tasks: dict[tuple[str, str, int], _Steps] = {}
        for number, event in enumerate(events):
            if event.name in names:
                for key in _task_keys(event, field):
                    tasks.setdefault(key, {}).setdefault(event.name, number)
        for steps in tasks.values():
            known = [steps[name] for name in names if name in steps]
            yield from itertools.pairwise(known)


def _task_keys(event: Event, field: str) -> Iterator[tuple[str, str, int]]:
    job = event.fields.get('job', '')
    group = event.fields.get(field, '')
    for index in parse_index_text(event.fields.get('tasks', '')):
        yield job, group, index


def _process_edges(events: Sequence[Event]) -> Iterator[tuple[int, int]]:
    by_process: dict[str, list[int]] = collections.defaultdict(list)
    for number, event in enumerate(events):
        by_process[event.process].append(number)
    for numbers in by_process.values():
        yield from itertools.pairwise(numbers)


def _job_edges(
    events: Sequence[Event],
    by_name: _Numbers,
) -> Iterator[tuple[int, int]]:
    """Put a forwarded answer behind the answer of the job's owner.

    The claim and the steps of one owner are in one log. Only a complete
    answer is certain to come from the owner.
    """
    owners = {events[claim].process for claim in by_name.get(JOB_CLAIMED, [])}
    complete = [
        answer
        for answer in by_name.get(JOB_ANSWERED, [])
        if events[answer].fields.get('status') == _COMPLETE
    ]
    given = [answer for answer in complete if events[answer].process in owners]
    for answer in complete:
        if given and events[answer].process not in owners:
            yield given[0], answer
