"""Settlements that arrive after the task has been placed again."""

from __future__ import annotations

import trio

from tests.entry.cluster import JobText, running_cluster

# Time that a message takes between the entry and the guard.
ROUND_TRIP_S = 0.02
# Run time of the task at the other guard.
FILLER_MS = 50


def delay_settled(guard):
    """Let the replies to settlements take a while, without blocking others."""
    send_settled = guard._settled

    async def settled(link, message, reports):
        async def send_later():
            await trio.sleep(ROUND_TRIP_S)
            await send_settled(link, message, reports)

        guard.nursery.start_soon(send_later)

    guard._settled = settled


async def test_second_settlement_does_not_withdraw_a_newer_attempt(
    autojump_clock,
):
    """Guards against a second run of a task that has been placed again.

    The connection to a guard breaks before it has read a start. The guard
    leaves the entry's subset and returns within a round trip, so that the
    task is settled twice. The first reply has it placed again; the second
    one, of the former attempt, must not.
    """
    async with running_cluster(guards=2, entries=1, slots=1) as cluster:
        for guard in cluster.guards:
            delay_settled(guard)
        # The other guard gets room between the two replies.
        other = JobText(tasks=1, ms=FILLER_MS)
        job = JobText(tasks=1, ms=200)
        directory = cluster.entries[0].core._directory
        links = directory._links.values()
        async with trio.open_nursery() as callers:
            callers.start_soon(cluster.submit, 0, other)
            await trio.sleep(0.006)
            for guard in cluster.guards:
                guard.faults['StartTasks'] = 'break_before'
            callers.start_soon(cluster.submit, 0, job)
            while all(link.is_connected for link in links):
                await trio.sleep(0.001)
            link = next(link for link in links if not link.is_connected)
            for guard in cluster.guards:
                guard.faults.clear()
            while not link.is_connected:
                await trio.sleep(0.001)
            await trio.sleep(ROUND_TRIP_S / 2)
            link.make_unplaceable()
            link.make_placeable()
