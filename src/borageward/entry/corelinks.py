"""Connections of an entry to the other processes."""

from __future__ import annotations

import attrs

from borageward.entry.batcher import Control
from borageward.entry.guardconnection import Dial
from borageward.entry.peers import PeerFactory


@attrs.frozen(slots=True)
class CoreLinks:
    """Client of control and connectors to guards and other entries.

    ``dial`` opens a stream to the link address of a guard, ``open_peer``
    returns the peer at the link address of another entry.
    """

    control: Control
    dial: Dial
    open_peer: PeerFactory
