"""Fixtures that run a deployment of real processes on loopback."""

from __future__ import annotations

from concurrent import futures

import pytest

from standins.caller import submit
from standins.deployment import Deployment
from standins.invariants import Exchange, find_violations

# Ends a request that hangs; no test asserts this bound.
_ANSWER_TIMEOUT_S = 60


class Session:
    """A deployment and the jobs and answers of its callers."""

    def __init__(self, deployment):
        """Start with no recorded jobs."""
        self.deployment = deployment
        self.exchanges = []
        self._pool = futures.ThreadPoolExecutor(16)

    def submit(self, entry, body):
        """Submit a job to an entry by index and record the answer."""
        address = self.deployment.entry_addresses[entry]
        answer = submit(address, body, timeout_s=_ANSWER_TIMEOUT_S)
        started = frozenset(self._started_tasks(body))
        self.exchanges.append(Exchange(body, answer, started))
        return answer

    def submit_in_background(self, entry, body):
        """Submit a job in another thread and return the future answer."""
        return self._pool.submit(self.submit, entry, body)

    def start_count(self, body):
        """Return the number of starts of a job in the journals."""
        return len(self._started_tasks(body))

    def assert_invariants(self):
        """Check all recorded answers against the journals."""
        journal = self.deployment.journal_starts()
        assert not find_violations(journal, self.exchanges)

    def close(self):
        """Stop the processes and wait for submissions in other threads."""
        self.deployment.stop()
        self._pool.shutdown()

    def _started_tasks(self, body):
        starts = self.deployment.journal_starts()
        return [task for job, task in starts if job == body['id']]


@pytest.fixture
def session(tmp_path):
    """Run three control replicas, two entries and three guards."""
    opened = Session(Deployment(tmp_path, controls=3, entries=2, guards=3))
    try:
        opened.deployment.start()
        yield opened
    finally:
        opened.close()
