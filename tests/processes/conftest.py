"""Real processes on loopback for the tests of this folder."""

from __future__ import annotations

from concurrent import futures

import pytest

from standins.caller import submit
from standins.deployment import Deployment
from standins.invariants import Exchange, find_violations

# A hang guard, not a bound that a test asserts.
_ANSWER_TIMEOUT_S = 60


class Session:
    """A deployment with the exchanges of its callers."""

    def __init__(self, deployment):
        """Start with no exchange."""
        self.deployment = deployment
        self.exchanges = []
        self._pool = futures.ThreadPoolExecutor(16)

    def submit(self, entry, body):
        """Submit a job and record the answer for the judge."""
        address = self.deployment.entry_addresses[entry]
        answer = submit(address, body, timeout_s=_ANSWER_TIMEOUT_S)
        started = frozenset(self._started_tasks(body))
        self.exchanges.append(Exchange(body, answer, started))
        return answer

    def submit_soon(self, entry, body):
        """Submit a job from another thread and return its future."""
        return self._pool.submit(self.submit, entry, body)

    def started(self, body):
        """Return how many starts of a job the journals hold."""
        return len(self._started_tasks(body))

    def assert_invariants(self):
        """Let the judge read the journals and all answers."""
        journal = self.deployment.journal_starts()
        assert not find_violations(journal, self.exchanges)

    def close(self):
        """Stop all processes."""
        self.deployment.stop()
        self._pool.shutdown()

    def _started_tasks(self, body):
        starts = self.deployment.journal_starts()
        return [task for job, task in starts if job == body['id']]


@pytest.fixture
def session(tmp_path):
    """Three control replicas, two entries and three guards."""
    opened = Session(Deployment(tmp_path, controls=3, entries=2, guards=3))
    try:
        opened.deployment.start()
        yield opened
    finally:
        opened.close()
