"""Shutdown of an entry with open requests."""

from __future__ import annotations

import trio

from borageward.telemetry import EventLog
from borageward_platform.drain import EntryDrain

GRACE_MS = 6000


class Server:
    """Server with one request that is open until its job has ended."""

    open_connections = 1

    def __init__(self, open_requests=1):
        self.open_requests = open_requests
        self.accepting = True

    def drain(self):
        """Do nothing; the connections close after their responses."""

    async def stop_accepting(self):
        """Close the listener."""
        self.accepting = False


class Jobs:
    """Dispatch with one waiting job that takes ``chain_ms``."""

    def __init__(self, server, chain_ms):
        self._server = server
        self._chain_ms = chain_ms

    def refuse_waiting(self, remaining_ms):
        """Answer the request if its job cannot end in time."""
        if self._chain_ms > remaining_ms:
            self._server.open_requests = 0

    def end_jobs(self):
        """Answer the request."""
        self._server.open_requests = 0


async def drain(server, chain_ms):
    """Drain an entry and return the milliseconds that it took."""
    started = trio.current_time()
    jobs = Jobs(server, chain_ms)
    await EntryDrain(server, jobs, GRACE_MS, EventLog()).run()
    assert not server.accepting
    return round(1000 * (trio.current_time() - started))


async def test_open_request_is_answered_before_the_grace_period_ends(
    autojump_clock,
):
    """Guards against a connection that closes without an answer."""
    server = Server()
    assert await drain(server, chain_ms=0) < GRACE_MS - 300
    assert not server.open_requests


async def test_job_that_cannot_end_in_time_is_refused_early(autojump_clock):
    """Guards against a caller that waits for a job which cannot run here."""
    server = Server()
    assert await drain(server, chain_ms=2000) < 4000
    assert not server.open_requests


async def test_drain_without_requests_ends_with_the_listener(autojump_clock):
    """Guards against an entry that keeps its host from a quick restart."""
    assert await drain(Server(open_requests=0), chain_ms=0) < 2800
