"""Cancellations that a control replica keeps in memory."""

from __future__ import annotations

import math
import random

import pytest
import trio

from borageward.clock import SystemClock
from borageward.control.cluster.cancellations import RecentCancellations
from borageward.messages.discovery import Cancellation


def store(seed=1):
    """Return an empty store."""
    return RecentCancellations(SystemClock(), random.Random(seed))


def ids(cancellations):
    """Return the job ids of cancellations."""
    return [item.job_id for item in cancellations]


async def test_caller_gets_what_it_lacks(autojump_clock):
    """Guards against views that repeat cancellations with each poll."""
    kept = store()
    kept.add((Cancellation('x', 0),))
    known = kept.version
    kept.add((Cancellation('yy', 0),))
    assert ids(kept.since(0)) == ['x', 'yy']
    assert ids(kept.since(known)) == ['yy']
    assert not kept.since(kept.version)


@pytest.mark.parametrize('seeds', [(1, 2), (2, 1)])
async def test_caller_of_a_former_process_gets_all(autojump_clock, seeds):
    """Guards against cancellations missed after a restart of the replica.

    The version of the former process may be higher or lower.
    """
    former, kept = map(store, seeds)
    former.add((Cancellation('x', 0),))
    kept.add((Cancellation('yy', 0),))
    assert ids(kept.since(former.version)) == ['yy']


async def test_age_grows_while_a_cancellation_is_kept(autojump_clock):
    """Guards against the end of jobs that were submitted later."""
    kept = store()
    kept.add((Cancellation('x', 300),))
    await trio.sleep(2)
    assert kept.since(0) == (Cancellation('x', pytest.approx(2300)),)


async def test_old_cancellations_are_dropped(autojump_clock):
    """Guards against memory in proportion to the age of the process."""
    kept = store()
    kept.add((Cancellation('x', 0),))
    known = kept.version
    await trio.sleep(60)
    assert not kept.since(0)
    kept.add((Cancellation('yy', 0),))
    assert ids(kept.since(known)) == ['yy']


async def test_number_of_cancellations_is_bounded(autojump_clock):
    """Guards against memory and views in proportion to a storm of requests."""
    kept = store()
    known = kept.version
    kept.add(tuple(Cancellation(str(number), 0) for number in range(30_000)))
    assert len(kept.since(0)) == 10_000
    assert ids(kept.since(known))[-1] == '29999'


@pytest.mark.parametrize(
    'odd',
    [
        Cancellation('', 0),
        Cancellation('x' * 300, 0),
        Cancellation('x', -1),
        Cancellation('x', math.nan),
        Cancellation('x', math.inf),
    ],
)
async def test_odd_cancellation_is_not_handed_on(autojump_clock, odd):
    """Guards against one report that breaks the views of all entries."""
    kept = store()
    kept.add((odd, Cancellation('yy', 0)))
    assert ids(kept.since(0)) == ['yy']


async def test_repeated_report_is_kept_once(autojump_clock):
    """Guards against repetitions that displace other cancellations.

    An entry reports again what a replica may have missed, as after a call
    without an answer.
    """
    kept = store()
    kept.add((Cancellation('first', 0),))
    for number in range(10):
        await trio.sleep(0.1)
        kept.add(
            tuple(
                Cancellation(str(index), 5 + 100 * number)
                for index in range(1300)
            )
        )
    known = kept.since(0)
    assert len(known) == 1301
    assert known[0].job_id == 'first'


async def test_later_cancellation_of_the_same_job_is_kept(autojump_clock):
    """Guards against a job that goes on after it was cancelled again.

    It was submitted again after the first cancellation.
    """
    kept = store()
    kept.add((Cancellation('x', 0),))
    known = kept.version
    await trio.sleep(1)
    kept.add((Cancellation('x', 0),))
    assert ids(kept.since(known)) == ['x']
