"""Start, run and graceful shutdown of the roles of one process."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterable
from typing import Protocol

import trio

from borageward.access import TlsFiles, open_tls
from borageward.clock import SystemClock
from borageward.daemon.roles import open_roles
from borageward.failures import Failure, FailureReason
from borageward.settings import Settings
from borageward.telemetry import EventLog, open_log

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Role(Protocol):
    """Part of the process that is started and closed independently."""

    async def start(self, nursery: trio.Nursery) -> Failure | None:
        """Start the role's tasks in the nursery.

        Returns a failure when the role cannot start; ``close`` is called all
        the same.
        """

    async def close(self) -> None:
        """Finish the accepted work, then stop."""


async def run_process(settings: Settings) -> Failure | None:
    """Run the roles of the settings until SIGTERM or SIGINT arrives.

    Returns ``None`` after a shutdown by signal, otherwise the failure of the
    TLS files or of a role's start. An ``OSError`` from any role ends the
    process with ``STORAGE_FAILED``.
    """
    tls = open_tls(settings.tls)
    if isinstance(tls, Failure):
        return tls
    open_log(settings.log.path, settings.log.level)
    log = EventLog(place=settings.place, process=process_name(settings))
    failure: Failure | None = None
    with trio.open_signal_receiver(*_STOP_SIGNALS) as signals:
        try:
            failure = await _run_roles(settings, log, signals, tls)
        except* OSError as group:
            failure = Failure(
                FailureReason.STORAGE_FAILED,
                _first_error_text(group),
            )
    return failure


def process_name(settings: Settings) -> str:
    """Return the process name for the log: its roles and their names.

    The parts are joined by slashes, as in ``entry/e1/guard/w1``.
    """
    names: list[str] = []
    if settings.control is not None:
        names.extend(('control', settings.control.voter_id))
    if settings.entry is not None:
        names.extend(('entry', settings.entry.name))
    if settings.guard is not None:
        names.extend(('guard', settings.guard.worker))
    return '/'.join(names)


async def _run_roles(
    settings: Settings,
    log: EventLog,
    signals: AsyncIterable[int],
    tls: TlsFiles | None,
) -> Failure | None:
    async with trio.open_nursery() as nursery:
        roles = open_roles(settings, SystemClock(), log, tls)
        failure = await _start_roles(roles, nursery)
        if failure is None:
            log.event('process_started')
            await _wait_for_signal(signals)
        log.event('process_stopping')
        for role in reversed(roles):
            await role.close()
        log.event('process_stopped')
        nursery.cancel_scope.cancel()
    return failure


async def _start_roles(
    roles: list[Role],
    nursery: trio.Nursery,
) -> Failure | None:
    for role in roles:
        failure = await role.start(nursery)
        if failure is not None:
            return failure
    return None


async def _wait_for_signal(signals: AsyncIterable[int]) -> None:
    await anext(aiter(signals))


def _first_error_text(group: BaseExceptionGroup[OSError]) -> str:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return str(error)
