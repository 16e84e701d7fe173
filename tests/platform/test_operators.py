"""Tests of the HTTP interface of a control replica for operators."""

from __future__ import annotations

import pytest
import trio
from trio.testing import MockClock

from borageward.failures import Failure, FailureReason
from borageward.http import HttpRequest
from borageward_platform.operators import OperatorServer

READ = HttpRequest('GET', '/v1/config', {}, b'')
ANSWER_MS = 300


class FakeCluster:
    """Control cluster without a leader, which answers after a while."""

    leader_address = ''

    async def newest(self, timeout_ms):
        """Return a failure after ``ANSWER_MS``."""
        await trio.sleep(ANSWER_MS / 1000)
        return Failure(FailureReason.NO_QUORUM, 'no leader is known')


class FakeLog:
    """Event log that keeps the fields of each event."""

    def __init__(self):
        """Start without events."""
        self.events = []

    def event(self, name, **fields):
        """Keep an event."""
        self.events.append((name, fields))

    def warning(self, name, **fields):
        """Keep an event of a higher level."""
        self.events.append((name, fields))


@pytest.fixture()
def log():
    """Return an event log without events."""
    return FakeLog()


def read_manifest(log, patience_ms):
    """Read the manifest and disconnect after a time without an answer."""

    async def main():
        with trio.move_on_after(patience_ms / 1000):
            await OperatorServer(FakeCluster(), log).answer(READ)

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_answered_call_is_logged_with_its_status_and_duration(log):
    """Guards against logs that do not show when an operator was answered.

    Without them, a call that was answered in time and whose answer was lost
    looks like one that waited at the replica.
    """
    read_manifest(log, 2 * ANSWER_MS)
    ended = {'call': 'GET', 'status': 503, 'took_ms': ANSWER_MS}
    assert log.events[-1] == ('operator_call_ended', ended)


def test_call_whose_operator_left_is_logged(log):
    """Guards against operators that leave unanswered without a trace."""
    read_manifest(log, ANSWER_MS / 2)
    ended = {'call': 'GET', 'status': 0, 'took_ms': ANSWER_MS / 2}
    assert log.events == [('operator_call_ended', ended)]
