"""Jobs that a caller has submitted twice at one entry."""

from __future__ import annotations

import trio

from tests.dispatch.test_dispatch_service import request, start_service

# Time in seconds after which a caller repeats a job.
REPEAT_S = 1.3


async def submit(service, scope):
    """Submit a job until its caller leaves."""
    with scope:
        await service.submit(request(deadline_ms=30_000))


async def test_job_ends_once_the_newest_of_its_callers_has_left(
    nursery, autojump_clock
):
    """Guards against a job that works on for a connection that is dead.

    The entry has not noticed that the first connection broke. Its caller
    repeats the job at the same entry, leaves again, and repeats the job at
    another entry then.
    """
    service = await start_service(nursery)
    nursery.start_soon(submit, service, trio.CancelScope())
    await trio.sleep(REPEAT_S)
    repeated = trio.CancelScope()
    nursery.start_soon(submit, service, repeated)
    await trio.sleep(0.1)
    repeated.cancel()
    await trio.sleep(REPEAT_S)
    assert service.find('job') is None
