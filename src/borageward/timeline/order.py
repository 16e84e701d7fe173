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
    TASK_START_SENT,
    TASK_STEPS,
)
from borageward.timeline.event import Event

_TASK_FIELDS = ('job', 'task', 'attempt')
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
        yield from _job_edges(by_name)


def _task_edges(events: Sequence[Event]) -> Iterator[tuple[int, int]]:
    tasks: dict[tuple[str, ...], _Steps] = {}
    for number, event in enumerate(events):
        if event.name in TASK_STEPS:
            steps = tasks.setdefault(_task_key(event), {})
            steps.setdefault(event.name, number)
    for steps in tasks.values():
        known = [steps[name] for name in TASK_STEPS if name in steps]
        yield from itertools.pairwise(known)


def _task_key(event: Event) -> tuple[str, ...]:
    return tuple(event.fields.get(key, '') for key in _TASK_FIELDS)


def _process_edges(events: Sequence[Event]) -> Iterator[tuple[int, int]]:
    by_process: dict[str, list[int]] = collections.defaultdict(list)
    for number, event in enumerate(events):
        by_process[event.process].append(number)
    for numbers in by_process.values():
        yield from itertools.pairwise(numbers)


def _job_edges(by_name: _Numbers) -> Iterator[tuple[int, int]]:
    for claim in by_name.get(JOB_CLAIMED, [])[:1]:
        for start in by_name.get(TASK_START_SENT, []):
            yield claim, start
    for answer in by_name.get(JOB_ANSWERED, [])[-1:]:
        for outcome in by_name.get(TASK_STEPS[-1], []):
            yield outcome, answer
