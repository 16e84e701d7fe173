"""Options of a replica of the control log, from the control settings."""

from __future__ import annotations

import random

import grpc

from borageward.clock import Clock
from borageward.control.consensus import NodeOptions, PeerFactory
from borageward.failures import Failure
from borageward.messages.consensus import ConsensusReply, Replica
from borageward.settings import ControlSettings
from borageward.telemetry import EventLog
from borageward.transport import Peer, parse_address
from borageward.transport.grpc import GrpcPeer


def node_options(
    settings: ControlSettings,
    clock: Clock,
    log: EventLog,
    open_peer: PeerFactory,
) -> NodeOptions:
    """Return the options of a replica.

    Without voters in the settings it is the only voter, unless it joins as a
    learner.
    """
    return NodeOptions(
        settings.voter_id,
        _initial_replicas(settings),
        settings.join_as_learner,
        settings.election_timeout_ms,
        settings.append_interval_ms,
        settings.claim_retention_ms,
        settings.clock_skew_ms,
        settings.snapshot_entries,
        clock,
        random.Random(),
        log,
        open_peer,
    )


def peer_factory(credentials: grpc.ChannelCredentials | None) -> PeerFactory:
    """Return a function that opens gRPC links to other replicas.

    The function raises ``ValueError`` for an invalid address.
    """

    def open_peer(replica: Replica) -> Peer:  # noqa: WPS430
        address = parse_address(replica.address)
        if isinstance(address, Failure):
            raise ValueError(address.detail)
        return GrpcPeer(address, ConsensusReply, credentials)

    return open_peer


def _initial_replicas(settings: ControlSettings) -> tuple[Replica, ...]:
    if settings.voters or settings.join_as_learner:
        return tuple(
            Replica(
                voter.voter_id,
                voter.address,
                voter.member_address,
                voter=True,
            )
            for voter in settings.voters
        )
    return (
        Replica(
            settings.voter_id,
            settings.address,
            settings.member_address,
            voter=True,
        ),
    )
