"""Jobs of several sizes without faults."""

from __future__ import annotations

import trio

from tests.entry.cluster import JobText, running_cluster


async def test_jobs_complete(autojump_clock):
    """Guards against partial, mixed up or missing answers.

    Succeeding and failing jobs of 1 to 150 tasks run at two entries at once.
    """
    async with running_cluster() as cluster:
        async with trio.open_nursery() as callers:
            for count in (1, 15, 150):
                callers.start_soon(cluster.submit, 0, JobText(count))
                failing = JobText(count, fail=True)
                callers.start_soon(cluster.submit, 1, failing)
    states = [found.document['state'] for found in cluster.answers]
    assert states.count('complete') == 3
    assert states.count('failed') == 3
