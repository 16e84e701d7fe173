"""Raft consensus of the control replicas on one replicated log."""

from __future__ import annotations

from borageward.control.consensus.exchange import VoterExchange
from borageward.control.consensus.node import Node
from borageward.control.consensus.options import NodeOptions, PeerFactory
from borageward.control.consensus.majorities import voter_ids, voter_sets

__all__ = (
    'Node',
    'NodeOptions',
    'PeerFactory',
    'VoterExchange',
    'voter_ids',
    'voter_sets',
)
