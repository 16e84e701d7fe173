"""Options of one replica of the log."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TypeAlias

import attrs

from borageward.clock import Clock, Milliseconds
from borageward.messages.consensus import Replica
from borageward.telemetry import EventLog
from borageward.transport import Peer

# Function that opens a link to another replica.
PeerFactory: TypeAlias = Callable[[Replica], Peer]


@attrs.frozen(slots=True)
class NodeOptions:
    """Identity, timing and dependencies of one replica.

    ``initial`` is the replica set that a new cluster starts with.
    ``source`` gives the random election timeouts. A snapshot is taken after
    ``snapshot_entries`` applied entries at the earliest. With
    ``rejoins_if_refused`` a replica whose disk is refused by another initial
    voter goes on without a vote until its owner gives it a new id; otherwise
    it fails.
    """

    voter_id: str
    initial: tuple[Replica, ...]
    join_as_learner: bool
    election_timeout_ms: Milliseconds
    append_interval_ms: Milliseconds
    claim_retention_ms: int
    clock_skew_ms: int
    snapshot_entries: int
    clock: Clock
    source: random.Random
    log: EventLog
    open_peer: PeerFactory
    rejoins_if_refused: bool = False
