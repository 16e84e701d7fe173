"""Stopping of runs that the endpoint lists but the guard does not know."""

from __future__ import annotations

import math
from collections.abc import Iterable

from borageward.clock import Clock, Milliseconds
from borageward.messages.runs import RunRef
from borageward.runs.endings import ListTime, RunLog
from borageward.runs.endpoint import Endpoint
from borageward.runs.table import RunTable

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
        run_log: RunLog,
    ) -> None:
        """Start without orphans; the table holds the known runs."""
        self._endpoint = endpoint
        self._table = table
        self._clock = clock
        self._run_log = run_log
        self._listed: set[RunRef] = set()
        self._stopping: set[RunRef] = set()
        # When the stops were confirmed, infinite once it was reported that a
        # list contradicts that.
        self._confirmed_ms: dict[RunRef, Milliseconds] = {}

    def observe(
        self,
        listed: Iterable[RunRef],
        lists: ListTime,
    ) -> list[RunRef]:
        """Take the active runs; return those for which to call ``stop``.

        ``lists`` is the time of the lists that show them.
        """
        self._listed = {ref for ref in listed if self._table.find(ref) is None}
        self._table.keep_orphans(self._listed)
        found = list(self._listed - self._stopping)
        self._stopping.update(found)
        for orphan in found:
            self._run_log.orphan(orphan, lists)
        self._report_unstopped(lists)
        return found

    async def stop(self, ref: RunRef) -> None:
        """Repeat the stop of an orphan until it is no longer listed."""
        self._table.add_orphan(ref, self._clock.now_ms())
        try:
            await self._repeat_stop(ref)
        finally:
            self._forget(ref)

    def _forget(self, ref: RunRef) -> None:
        self._table.remove_orphan(ref)
        self._stopping.discard(ref)
        self._confirmed_ms.pop(ref, None)

    def _report_unstopped(self, lists: ListTime) -> None:
        """Report once each listed orphan whose stop should have ended it."""
        for ref in self._listed & self._confirmed_ms.keys():
            confirmed_ms = self._confirmed_ms[ref]
            if lists.follows_stop(confirmed_ms):
                self._confirmed_ms[ref] = math.inf
                self._run_log.listed_after_stop(
                    ref, confirmed_ms, lists, self._endpoint
                )

    async def _repeat_stop(self, ref: RunRef) -> None:
        while ref in self._listed and self._table.find(ref) is None:
            failure = await self._endpoint.port.stop(
                ref,
                self._endpoint.fence,
                _STOP_TIMEOUT_MS,
            )
            if failure is None:
                self._confirmed_ms.setdefault(ref, self._clock.now_ms())
            await self._clock.sleep_ms(
                _STOP_RETRY_MS if failure is None else _FAILED_STOP_RETRY_MS,
            )
