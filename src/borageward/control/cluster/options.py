"""Settings of a control replica that finds the others through seeds."""

from __future__ import annotations

import pathlib

import attrs

from borageward.clock import Milliseconds
from borageward.settings import ControlAddress

_ELECTION_TIMEOUT_MS = 500.0
_APPEND_INTERVAL_MS = 120.0


@attrs.frozen(slots=True)
class ClusterOptions:
    """Addresses and disk of a replica and size of its cluster.

    ``operator_address`` serves operators, ``address`` the other replicas.
    ``seeds`` are addresses of replicas, which may be outdated after the first
    start. ``first_start`` is set when the whole cluster starts with empty
    disks; the seeds are then its initial voters. ``losses`` is the number of
    replicas whose simultaneous loss the cluster has to tolerate.
    """

    operator_address: str
    address: str
    seeds: tuple[ControlAddress, ...]
    first_start: bool
    losses: int
    data_folder: pathlib.Path
    election_timeout_ms: Milliseconds = _ELECTION_TIMEOUT_MS
    append_interval_ms: Milliseconds = _APPEND_INTERVAL_MS

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Return the addresses at which the seeds serve other replicas."""
        return tuple(seed.member_address for seed in self.seeds)

    @property
    def voter_count(self) -> int:
        """Return the number of voters that tolerates ``losses``."""
        return 2 * self.losses + 1
