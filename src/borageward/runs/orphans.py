"""Stopping of runs that the endpoint lists but the guard does not know."""

from __future__ import annotations

from collections.abc import Iterable

from borageward.clock import Clock
from borageward.messages.runs import RunRef
from borageward.runs.endpoint import Endpoint
from borageward.runs.table import RunTable
from borageward.telemetry import EventLog

_STOP_TIMEOUT_MS = 150.0
_STOP_RETRY_MS = 250.0
# Delay after a failed stop, which may have been refused at once.
_FAILED_STOP_RETRY_MS = 20.0


class OrphanRuns:
    """Active runs that no session of this guard has requested.

    A start that was reported as lost may be carried out late, and an entry
    may have started the task elsewhere since. Such a run is stopped until the
    endpoint no longer lists it, and limits the lease as long.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        table: RunTable,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Start without orphans; the table holds the known runs."""
        self._endpoint = endpoint
        self._table = table
        self._clock = clock
        self._log = log
        self._listed: set[RunRef] = set()
        self._stopping: set[RunRef] = set()

    def observe(self, listed: Iterable[RunRef]) -> list[RunRef]:
        """Take the active runs; return those for which to call ``stop``."""
        self._listed = {ref for ref in listed if self._table.find(ref) is None}
        self._table.keep_orphans(self._listed)
        found = list(self._listed - self._stopping)
        self._stopping.update(found)
        return found

    async def stop(self, ref: RunRef) -> None:
        """Repeat the stop of an orphan until it is no longer listed."""
        self._log.event('orphan_stopped', job=ref.task.job_id, run=ref.run)
        self._table.add_orphan(ref, self._clock.now_ms())
        try:
            await self._repeat_stop(ref)
        finally:
            self._table.remove_orphan(ref)
            self._stopping.discard(ref)

    async def _repeat_stop(self, ref: RunRef) -> None:
        while ref in self._listed and self._table.find(ref) is None:
            failure = await self._endpoint.port.stop(
                ref,
                self._endpoint.fence,
                _STOP_TIMEOUT_MS,
            )
            await self._clock.sleep_ms(
                _STOP_RETRY_MS if failure is None else _FAILED_STOP_RETRY_MS,
            )
