"""Tests of the runs that an entry has ordered at one guard."""

from __future__ import annotations

from borageward.dispatch.orders import OutstandingRuns
from borageward.messages.runs import (
    Demand,
    EndpointState,
    RunEnd,
    RunOutcome,
    RunRef,
    SessionOpened,
    TaskKey,
)


def ref(index):
    """Return the first run of a task."""
    return RunRef(TaskKey('job', 0, 0, index), 1)


def state(last_order, room):
    """Return an endpoint state that counts the orders up to ``last_order``."""
    capacity = Demand(4000)
    return EndpointState(
        0, last_order, 'e', 'p', (), True, capacity, Demand(room), 1, 0, 1
    )


def runs_with(*indexes):
    """Return the runs of one order, and the list that receives their ends."""
    ends = []
    runs = OutstandingRuns(
        lambda run, outcome, detail: ends.append((run, outcome))
    )
    for index in indexes:
        runs.reserve(ref(index), Demand(1000))
    runs.next_order()
    return runs, ends


def test_room_counts_orders_that_the_state_does_not_know():
    """Guards against room that is used by two runs or subtracted twice.

    The state of the guard may or may not include the latest order.
    """
    runs, _ = runs_with(0, 1)
    assert runs.room(state(0, 4000)).cpu_milli == 2000
    assert runs.room(state(1, 2000)).cpu_milli == 2000


def test_repeated_end_is_handled_once():
    """Guards against a run that ends twice.

    The guard repeats the report of an end until the entry has acknowledged it.
    """
    runs, ends = runs_with(0, 1)
    for _ in range(2):
        runs.handle_end(RunEnd(1, ref(0), RunOutcome.DONE))
    assert ends == [(ref(0), RunOutcome.DONE)]


def test_unlisted_run_ends_lost_only_after_the_ends_that_follow():
    """Guards against a completed task that runs again after a reconnect.

    The guard no longer lists a run that ended while the link was broken, but
    reports its end before the next state.
    """
    runs, ends = runs_with(0, 1, 2)
    runs.reconcile(SessionOpened('g', True, (ref(2),)))
    runs.handle_end(RunEnd(1, ref(0), RunOutcome.DONE))
    assert not ends[1:]
    runs.end_unlisted()
    assert ends == [(ref(0), RunOutcome.DONE), (ref(1), RunOutcome.LOST)]
    assert len(runs) == 1


def test_runs_that_ended_for_the_entry_are_stopped_at_a_reconnect():
    """Guards against runs that go on although they have ended for the entry.

    The guard still lists such a run when the session is opened again.
    """
    runs, _ = runs_with(0)
    assert runs.reconcile(SessionOpened('g', True, (ref(0), ref(7)))) == [
        ref(7)
    ]


def test_new_guard_counts_ends_from_the_beginning():
    """Guards against ignored ends after a restart of the guard.

    A new session numbers its ends from one again, below the last number that
    the entry has seen.
    """
    runs, ends = runs_with(0)
    runs.handle_end(RunEnd(5, ref(9), RunOutcome.DONE))
    runs.reconcile(SessionOpened('g2', False, (ref(0),)))
    runs.handle_end(RunEnd(1, ref(0), RunOutcome.DONE))
    assert ends == [(ref(0), RunOutcome.DONE)]


def test_ends_after_a_replaced_session_are_handled():
    """Guards against jobs whose ends are ignored until their callers leave.

    The session of a thawed guard is new although the guard knows the entry.
    """
    runs, ends = runs_with(0)
    runs.reconcile(SessionOpened('g', False, (), 'first'))
    runs.handle_end(RunEnd(5, ref(9), RunOutcome.DONE))
    assert (runs.session, runs.seen_end) == ('first', 5)
    runs.reconcile(SessionOpened('g', False, (ref(0),), 'second'))
    assert (runs.session, runs.seen_end) == ('second', 0)
    runs.handle_end(RunEnd(1, ref(0), RunOutcome.DONE))
    assert ends == [(ref(0), RunOutcome.DONE)]
