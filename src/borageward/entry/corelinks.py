"""How an entry reaches the other processes."""

from __future__ import annotations

import attrs

from borageward.entry.batcher import Control
from borageward.entry.guardconnection import Dial
from borageward.entry.peers import PeerFactory


@attrs.frozen(slots=True)
class CoreLinks:
    """Links to control, guards and other entries."""

    control: Control
    dial: Dial
    open_peer: PeerFactory
