"""Tests of the task steps that a running entry and a running guard log."""

from __future__ import annotations

import contextlib

import trio

from borageward.identity import format_job_id, new_job_id
from borageward.telemetry import open_log
from borageward.telemetry.events import (
    JOB_ANSWERED,
    JOB_CLAIMED,
    TASK_STEPS,
)
from borageward.telemetry.steps import parse_index_text
from borageward.timeline import causal_order, read_events
from tests.entry.cluster import JobText, running_cluster
from tests.guard import harness

_TASKS = 12


@contextlib.contextmanager
def _log_file(folder):
    path = folder / 'events.log'
    open_log(str(path), 'debug')
    yield path
    # The level is global to the test process, so it is reset for later tests.
    open_log(str(path), 'info')


def _steps_of(path, job_id):
    """Return the event names of each task in timeline order, and all events.

    Events of the job without a task list are added to each task.
    """
    logs = read_events((path,))
    assert not logs.skipped
    names = {index: [] for index in range(_TASKS)}
    for event in causal_order(logs.events):
        if event.fields.get('job') == format_job_id(job_id):
            listed = event.fields.get('tasks')
            indexes = names if listed is None else parse_index_text(listed)
            for index in indexes:
                names[index].append(event.name)
    return names, logs.events


async def test_entry_writes_its_steps(autojump_clock, tmp_path):
    """Guards against steps that the entry omits, repeats or misorders.

    The timeline relies on these events. They must also be written once per
    message and not per task, which would flood the log.
    """
    with _log_file(tmp_path) as path:
        async with running_cluster(entries=1) as cluster:
            job = JobText(_TASKS)
            await cluster.submit(0, job)
    names, events = _steps_of(path, job.job_id)
    expected = [JOB_CLAIMED, TASK_STEPS[0], TASK_STEPS[-1], JOB_ANSWERED]
    assert all(found == expected for found in names.values())
    # One event per message; each guard gets at most one start message.
    sent = [event for event in events if event.name == TASK_STEPS[0]]
    assert len(sent) <= 2


async def test_guard_writes_its_steps(autojump_clock, tmp_path):
    """Guards against steps that the guard omits, repeats or misorders.

    The timeline relies on these events and on their field ``worker``. The
    tasks of one start message must be covered by one event.
    """
    job_id = new_job_id(1)
    with _log_file(tmp_path) as path:
        async with harness.running_guard() as bench:
            entry = await bench.entry(1)
            await entry.send(harness.start(job_id, 1, range(_TASKS)))
            await trio.sleep(1)
    names, events = _steps_of(path, job_id)
    expected = list(TASK_STEPS[1:-1])
    assert all(found == expected for found in names.values())
    received = [event for event in events if event.name == TASK_STEPS[1]]
    assert len(received) == 1
    assert {event.fields.get('worker') for event in received} == {'w1'}
