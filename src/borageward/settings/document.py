"""Types of the settings document.

The validation, the JSON schema and the reference page are all derived from
these annotations.
"""

from __future__ import annotations

from typing import Annotated

import attrs
from msgspec import Meta

from borageward.settings import values as kinds


@attrs.frozen(slots=True)
class LogSettings:
    """Destination and level of the event log."""

    path: Annotated[
        str, Meta(description='Log file; empty means standard error.')
    ] = ''
    level: Annotated[
        kinds.LogLevel, Meta(description='Lowest level that is logged.')
    ] = 'info'


@attrs.frozen(slots=True)
class MetricsSettings:
    """Destination of the metrics."""

    address: Annotated[
        str,
        Meta(description='Address of the statsd collector; empty sends none.'),
    ] = ''


@attrs.frozen(slots=True)
class TlsSettings:
    """Transport security and the files of the TLS identity."""

    mode: Annotated[
        kinds.TlsMode,
        Meta(description='`mutual` in production; `off` sends plain text.'),
    ]
    certificate: Annotated[
        str, Meta(description='PEM file of the certificate chain.')
    ] = ''
    private_key: Annotated[
        str, Meta(description='PEM file of the private key.')
    ] = ''
    authority: Annotated[
        str, Meta(description='PEM file of the trusted CA certificates.')
    ] = ''


@attrs.frozen(slots=True)
class ControlAddress:
    """Addresses of one control replica."""

    address: Annotated[
        kinds.AddressText,
        Meta(description='gRPC address for entries, operators and replicas.'),
    ]
    member_address: Annotated[
        kinds.AddressText,
        Meta(description='Frame-link address for guards.'),
    ]


@attrs.frozen(slots=True)
class VoterAddress:
    """One initial voter of the control log."""

    voter_id: Annotated[
        kinds.Name, Meta(description='Id of the voter; must not be reused.')
    ]
    address: Annotated[
        kinds.AddressText, Meta(description='gRPC address of the voter.')
    ]
    member_address: Annotated[
        kinds.AddressText,
        Meta(description='Frame-link address of the voter.'),
    ]


@attrs.frozen(slots=True)
class ControlSettings:
    """Settings of the control role."""

    voter_id: Annotated[
        kinds.Name, Meta(description='Voter id of this replica.')
    ]
    data_folder: Annotated[
        kinds.Folder, Meta(description='Folder for the log and snapshots.')
    ]
    address: Annotated[
        kinds.AddressText, Meta(description='gRPC address to listen on.')
    ]
    member_address: Annotated[
        kinds.AddressText,
        Meta(description='Frame-link address to listen on.'),
    ]
    voters: Annotated[
        tuple[VoterAddress, ...],
        Meta(
            description='Initial voters: 1, 3 or 5, the same in each file.',
            min_length=1,
        ),
    ]
    election_timeout_ms: Annotated[
        kinds.IntervalMs,
        Meta(description='Time without leader contact before an election.'),
    ] = 500
    append_interval_ms: Annotated[
        kinds.IntervalMs, Meta(description='Interval of leader heartbeats.')
    ] = 100
    entry_lease_ms: Annotated[
        kinds.IntervalMs,
        Meta(
            description='Time without heartbeat after which an entry is ended.'
        ),
    ] = 1500
    guard_lease_ms: Annotated[
        kinds.IntervalMs,
        Meta(
            description='Time without heartbeat after which a guard is ended.'
        ),
    ] = 3000
    claim_retention_ms: Annotated[
        kinds.RetentionMs, Meta(description='How long job claims are kept.')
    ] = 600_000
    clock_skew_ms: Annotated[
        kinds.IntervalMs,
        Meta(description='Largest allowed difference between wall clocks.'),
    ] = 30_000
    snapshot_entries: Annotated[
        kinds.EntryCount, Meta(description='Log entries between snapshots.')
    ] = 10_000
    join_as_learner: Annotated[
        bool,
        Meta(description='Join an existing cluster without a vote.'),
    ] = False


@attrs.frozen(slots=True)
class EntrySettings:
    """Settings of the entry role."""

    name: Annotated[
        kinds.Name, Meta(description='Name of the entry in logs and answers.')
    ]
    http_address: Annotated[
        kinds.AddressText, Meta(description='HTTP address for callers.')
    ]
    link_address: Annotated[
        kinds.AddressText,
        Meta(description='Frame-link address that other entries dial.'),
    ]
    control: Annotated[
        tuple[ControlAddress, ...],
        Meta(description='The control replicas.', min_length=1),
    ]
    heartbeat_interval_ms: Annotated[
        kinds.IntervalMs, Meta(description='Interval of heartbeats.')
    ] = 300
    guard_subset_size: Annotated[
        kinds.GuardCount,
        Meta(description='Number of guards that the entry keeps links to.'),
    ] = 64
    claim_batch_wait_ms: Annotated[
        kinds.BatchWaitMs,
        Meta(description='Wait for more claims before a batch is sent.'),
    ] = 0


@attrs.frozen(slots=True)
class GuardSettings:
    """Settings of the guard role."""

    worker: Annotated[
        kinds.Name, Meta(description='Machine that the runner is on.')
    ]
    service: Annotated[
        kinds.Name, Meta(description='Service that the runner belongs to.')
    ]
    link_address: Annotated[
        kinds.AddressText,
        Meta(description='Frame-link address that entries dial.'),
    ]
    runner_address: Annotated[
        kinds.AddressText, Meta(description='HTTP address of the runner.')
    ]
    control: Annotated[
        tuple[ControlAddress, ...],
        Meta(description='The control replicas.', min_length=1),
    ]
    slots: Annotated[
        kinds.SlotCount, Meta(description='Tasks that may run at once.')
    ] = 8
    heartbeat_interval_ms: Annotated[
        kinds.IntervalMs, Meta(description='Interval of heartbeats.')
    ] = 1000
    result_retention_ms: Annotated[
        kinds.IntervalMs,
        Meta(description='How long acknowledged results are kept.'),
    ] = 30_000
    max_result_bytes: Annotated[
        kinds.ResultBytes, Meta(description='Size limit of all stored results.')
    ] = 2_097_152


@attrs.frozen(slots=True)
class OperatorSettings:
    """Processes that the command line calls."""

    control: Annotated[
        tuple[kinds.AddressText, ...],
        Meta(description='gRPC addresses of control replicas.', min_length=1),
    ]
    entries: Annotated[
        tuple[kinds.AddressText, ...],
        Meta(description='HTTP addresses of all entries.'),
    ] = ()


@attrs.frozen(slots=True)
class Settings:
    """Settings of one process; a role runs when its section is present."""

    region: Annotated[kinds.Name, Meta(description='Region of the process.')]
    place: Annotated[
        kinds.Name, Meta(description='Availability zone of the process.')
    ]
    tls: Annotated[TlsSettings, Meta(description='Transport security.')]
    log: Annotated[LogSettings, Meta(description='Event log.')] = LogSettings()
    metrics: Annotated[MetricsSettings, Meta(description='Metrics.')] = (
        MetricsSettings()
    )
    control: Annotated[
        ControlSettings | None, Meta(description='Role `control`.')
    ] = None
    entry: Annotated[
        EntrySettings | None, Meta(description='Role `entry`.')
    ] = None
    guard: Annotated[
        GuardSettings | None, Meta(description='Role `guard`.')
    ] = None
    operator: Annotated[
        OperatorSettings | None,
        Meta(description='Command line; starts nothing in the daemon.'),
    ] = None
