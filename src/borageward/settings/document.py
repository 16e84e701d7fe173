"""Typed form of the settings document."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class LogSettings:
    """Where log lines go; an empty path means standard error."""

    path: str = ''
    level: str = 'info'


@attrs.frozen(slots=True)
class MetricsSettings:
    """Address of the statsd collector; empty turns metrics off."""

    address: str = ''


@attrs.frozen(slots=True)
class TlsSettings:
    """Files of the mutual TLS identity; ``mode`` is ``mutual`` or ``off``."""

    mode: str
    certificate: str = ''
    private_key: str = ''
    authority: str = ''


@attrs.frozen(slots=True)
class ControlAddress:
    """Addresses of one control replica.

    ``address`` serves entries, operators and other replicas by gRPC,
    ``member_address`` serves guards by frames.
    """

    address: str
    member_address: str


@attrs.frozen(slots=True)
class VoterAddress:
    """One initial voter of the control log."""

    voter_id: str
    address: str
    member_address: str


@attrs.frozen(slots=True)
class ControlSettings:
    """Settings of the control role."""

    voter_id: str
    data_folder: str
    address: str
    member_address: str
    voters: tuple[VoterAddress, ...]
    election_timeout_ms: int = 500
    append_interval_ms: int = 100
    entry_lease_ms: int = 1500
    guard_lease_ms: int = 3000
    claim_retention_ms: int = 600_000
    clock_skew_ms: int = 30_000
    snapshot_entries: int = 10_000
    join_as_learner: bool = False


@attrs.frozen(slots=True)
class EntrySettings:
    """Settings of the entry role.

    ``http_address`` serves callers, ``link_address`` serves other entries.
    """

    name: str
    http_address: str
    link_address: str
    control: tuple[ControlAddress, ...]
    heartbeat_interval_ms: int = 300
    guard_subset_size: int = 64
    claim_batch_wait_ms: float = 0


@attrs.frozen(slots=True)
class GuardSettings:
    """Settings of the guard role; ``runner_address`` is its endpoint."""

    worker: str
    service: str
    link_address: str
    runner_address: str
    control: tuple[ControlAddress, ...]
    slots: int = 8
    heartbeat_interval_ms: int = 1000
    result_retention_ms: int = 30_000
    max_result_bytes: int = 2_097_152


@attrs.frozen(slots=True)
class Settings:
    """Settings of one process; a role runs when its section is present."""

    region: str
    place: str
    tls: TlsSettings
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
    control: ControlSettings | None = None
    entry: EntrySettings | None = None
    guard: GuardSettings | None = None
