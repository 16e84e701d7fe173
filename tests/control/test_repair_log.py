"""Lines that the repair of the voters logs."""

from __future__ import annotations

import attrs
import trio

from borageward.control.cluster.repair import VoterRepair
from borageward.control.consensus.progress import PeerProgress
from borageward.failures import Failure, FailureReason
from borageward.messages.consensus import Replica, SetReplicas
from borageward.messages.control import Done
from tests.control.fakes import FakeClock

PENDING = Failure(FailureReason.VOTER_CHANGE_PENDING, 'not yet')


@attrs.define
class Options:
    """The options that the repair reads."""

    losses: int = 1
    voter_count: int = 3


class Node:
    """Leader a of the voters a, b and c; b is silent and d is a learner."""

    leader_term = 4

    def __init__(self):
        replicas = tuple(
            Replica(name, name, name, voter=name != 'd') for name in 'abcd'
        )
        self.leader = replicas[0]
        self.log = self
        self.replicas = SetReplicas(replicas, ())
        self.reply = PENDING

    def progress_of(self, voter_id):
        sent_ms = trio.current_time() * 1000
        if voter_id == 'b':
            sent_ms -= 3000
        return PeerProgress(2, sent_ms, 1, 0, 1, b'disk')

    async def change_replicas(self, request):
        return self.reply


class Log:
    """Keeps the events in place of writing them."""

    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        self.events.append((name, fields))


async def test_step_that_fails_is_logged_once(autojump_clock):
    """Guards against a log that is flooded while a step is refused."""
    node, log = Node(), Log()
    repair = VoterRepair(Options(), node, FakeClock(), log)
    with trio.move_on_after(3):
        await repair.run()
    names = [name for name, _ in log.events]
    assert names == [
        'survivable_losses',
        'voter_exchange_started',
        'voter_removed',
    ]
    assert log.events[-1][1]['outcome'] == 'not yet'
    node.reply = Done()
    with trio.move_on_after(0.3):
        await repair.run()
    assert log.events[-1][1]['outcome'] == 'done'


async def test_decision_names_silences_voters_and_losses(autojump_clock):
    """Guards against a decision that nobody can explain afterwards."""
    log = Log()
    repair = VoterRepair(Options(), Node(), FakeClock(), log)
    with trio.move_on_after(0.3):
        await repair.run()
    assert log.events[:2] == [
        (
            'survivable_losses',
            {
                'losses': 1,
                'tolerated': 1,
                'voters': 'a,b,c',
                'superseded': '-',
            },
        ),
        (
            'voter_exchange_started',
            {
                'removed': 'b',
                'added': 'd',
                'cause': 'silent',
                'removed_silence_ms': '3000',
                'added_silence_ms': '0',
                'voters': 'a,b,c',
                'losses': 1,
                'losses_after': 1,
            },
        ),
    ]
