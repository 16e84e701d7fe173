"""Construction of the roles that the settings define.

The functions import what their role needs, because a guard must not load
libraries that only other roles use.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from borageward.access import TlsFiles
from borageward.clock import Clock
from borageward.daemon.credentials import (
    control_credentials,
    entry_credentials,
    guard_credentials,
)
from borageward.settings import Settings
from borageward.telemetry import EventLog, Metrics
from borageward.transport import Address, parse_address

if TYPE_CHECKING:
    from borageward.daemon.process import Role


def open_roles(
    settings: Settings,
    clock: Clock,
    log: EventLog,
    tls: TlsFiles | None = None,
) -> list[Role]:
    """Return the roles of a process in the order in which they start.

    Control comes first, then the guard, then the entry. Without ``tls`` all
    connections and listeners use plain text.
    """
    roles: list[Role] = []
    if settings.control is not None:
        roles.append(_open_control(settings, clock, log, tls))
    if settings.guard is not None:
        roles.append(_open_guard(settings, clock, log, tls))
    if settings.entry is not None:
        roles.append(_open_entry(settings, clock, log, tls))
    return roles


def open_metrics(settings: Settings) -> Metrics:
    """Return the metrics client of the settings.

    The client sends nothing when the settings hold no valid address.
    """
    address = parse_address(settings.metrics.address)
    if isinstance(address, Address):
        return Metrics(address, 'borageward')
    return Metrics(None, 'borageward')


def _open_control(
    settings: Settings,
    clock: Clock,
    log: EventLog,
    tls: TlsFiles | None,
) -> Role:
    from borageward.control.service import ControlService  # noqa: WPS433

    assert settings.control is not None  # noqa: S101 Checked by the caller.
    credentials = control_credentials(tls)
    return ControlService(
        settings.control,
        clock,
        log,
        credentials.frame_server,
        credentials.grpc_server,
        credentials.grpc_client,
    )


def _open_guard(
    settings: Settings,
    clock: Clock,
    log: EventLog,
    tls: TlsFiles | None,
) -> Role:
    from borageward.guard import GuardService  # noqa: WPS433
    from borageward.policy.class_scheduler import (  # noqa: WPS433
        ClassSlotScheduler,
    )

    assert settings.guard is not None  # noqa: S101 Checked by the caller.
    scheduler = ClassSlotScheduler(settings.guard.slots)
    return GuardService(
        settings.guard,
        settings.place,
        clock,
        log,
        scheduler,
        guard_credentials(tls),
    )


def _open_entry(
    settings: Settings,
    clock: Clock,
    log: EventLog,
    tls: TlsFiles | None,
) -> Role:
    from borageward.entry import EntryService  # noqa: WPS433
    from borageward.policy.adaptive_dispatch import (  # noqa: WPS433
        AdaptiveDispatchPolicy,
    )

    assert settings.entry is not None  # noqa: S101 Checked by the caller.
    policy = AdaptiveDispatchPolicy(settings.place, random.Random())
    return EntryService(
        settings.entry,
        settings.place,
        clock,
        log,
        open_metrics(settings),
        policy,
        entry_credentials(tls),
    )
