"""Manifest and guards as the control replicas report them."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import msgspec

from borageward.clock import Clock, Milliseconds
from borageward.dispatch.cancellations import CancellationReports
from borageward.discovery import (
    ReplicaCaller,
    ReplicaFanout,
    find_guard_problem,
)
from borageward.messages.discovery import (
    Cancellation,
    ClusterView,
    FetchView,
    GuardAddress,
)
from borageward.queues import QueueManifest
from borageward.telemetry import EventLog

# Some replica that answers is asked in each of these intervals, whatever their
# number.
_POLL_INTERVAL_MS = 100.0
_POLL_TIMEOUT_MS = 600.0
# New reports of cancellations are sent before the next poll is due, together
# at most this often.
_REPORT_INTERVAL_MS = 50.0
# Until the first manifest and guards arrive, the entry cannot serve any caller,
# so it polls more often.
_FIRST_POLL_INTERVAL_MS = 50.0
_FIRST_POLL_TIMEOUT_MS = 200.0
# A guard that no replica lists is kept for this time, because its link may
# still be restored.
_GUARD_RETENTION_MS = 20_000.0
_DROP_INTERVAL_MS = 1000.0


@attrs.frozen(slots=True)
class _ReplicaList:
    """Guards that a replica lists, and when it last confirmed the list."""

    guards: tuple[GuardAddress, ...]
    confirmed_ms: Milliseconds


class Directory:
    """Polls all control replicas for the manifest and the guards.

    The manifest with the highest version is in force; older ones from replicas
    that lag behind are ignored. Each replica lists only the guards that have
    announced themselves to it, so the guards of all replicas are combined.
    """

    def __init__(
        self,
        seeds: tuple[str, ...],
        calls: ReplicaCaller,
        on_change: Callable[[], None],
        on_cancellations: Callable[[str, tuple[Cancellation, ...]], None],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare to poll the seeds and the replicas that they name.

        ``on_change`` is called when the manifest or the guards have changed,
        ``on_cancellations`` with the address of a replica and the cancellations
        that it hands on. The same ones come from each replica.
        """
        self._replicas = ReplicaFanout(seeds, self._poll)
        self._calls = calls
        self._on_change = on_change
        self._on_cancellations = on_cancellations
        self._reports = CancellationReports(clock)
        self._clock = clock
        self._log = log
        self._manifest: QueueManifest | None = None
        self._guards: dict[str, GuardAddress] = {}
        # Times at which guards were last seen in a list that has changed
        # since. Guards in a current list are as recent as the list.
        self._last_listed_ms: dict[str, Milliseconds] = {}
        self._lists: dict[str, _ReplicaList] = {}
        self._next_drop_ms: Milliseconds = 0
        self._answering: set[str] = set()

    @property
    def manifest(self) -> QueueManifest | None:
        """Return the newest manifest, or None before the first one."""
        return self._manifest

    @property
    def guards(self) -> dict[str, GuardAddress]:
        """Return the addresses of the guards by host name."""
        return self._guards

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Add control replicas to poll."""
        self._replicas.add(seeds)

    async def report_cancellation(self, job_id: str) -> bool:
        """Ask the entry that owns a job, through the replicas, to end it.

        Returns whether the replicas have accepted the report within one second.
        """
        return await self._reports.report(job_id)

    def announce_cancellation(self, job_id: str) -> None:
        """Report a cancellation without waiting for the replicas."""
        self._reports.add(job_id)

    async def run(self) -> None:
        """Poll the replicas until cancelled."""
        await self._replicas.run()

    async def _poll(self, address: str) -> None:
        known = FetchView(0, 0)
        self._answering.add(address)
        self._reports.add_replica(address)
        while True:
            batch = self._reports.batch(address)
            request = msgspec.structs.replace(
                known,
                manifest_version=self._manifest_version(),
                reports=batch.cancellations,
            )
            view = await self._calls.call(address, request, self._timeout_ms())
            if isinstance(view, ClusterView):
                known = _known_versions(view)
                self._apply_view(address, view)
            if isinstance(view, ClusterView) and view.cancellations_version:
                self._reports.handle_answer(address, batch)
            else:
                self._reports.handle_failure(address)
            self._note_answer(address, answered=isinstance(view, ClusterView))
            await self._wait_for_next_poll(address)

    async def _wait_for_next_poll(self, address: str) -> None:
        interval_ms = self._interval_ms()
        await self._clock.sleep_ms(_REPORT_INTERVAL_MS)
        remaining_ms = interval_ms - _REPORT_INTERVAL_MS
        await self._reports.wait_for_news(address, max(0, remaining_ms))

    def _manifest_version(self) -> int:
        return 0 if self._manifest is None else self._manifest.version

    def _note_answer(self, address: str, *, answered: bool) -> None:
        """Log that a replica answers again or no longer does."""
        if answered == (address in self._answering):
            return
        if answered:
            self._answering.add(address)
        else:
            self._answering.remove(address)
        name = 'replica_regained' if answered else 'replica_lost'
        self._log.event(name, replica=address)

    def _interval_ms(self) -> Milliseconds:
        if self._is_complete():
            return _POLL_INTERVAL_MS * max(1, len(self._answering))
        return _FIRST_POLL_INTERVAL_MS

    def _timeout_ms(self) -> Milliseconds:
        if self._is_complete():
            return _POLL_TIMEOUT_MS
        return _FIRST_POLL_TIMEOUT_MS

    def _is_complete(self) -> bool:
        return self._manifest is not None and bool(self._guards)

    def _apply_view(self, address: str, view: ClusterView) -> None:
        self.add_seeds(view.replicas)
        now_ms = self._clock.now_ms()
        changed = self._update_manifest(view.manifest)
        if view.guards is None:
            self._confirm_list(address, now_ms)
        else:
            guards = self._valid_guards(view.guards)
            changed = self._replace_list(address, guards, now_ms) or changed
        if self._drop_unlisted(now_ms) or changed:
            self._on_change()
        if view.cancellations:
            self._on_cancellations(address, view.cancellations)

    def _valid_guards(
        self,
        guards: tuple[GuardAddress, ...],
    ) -> tuple[GuardAddress, ...]:
        """Return the guards to which a link is possible; log the others.

        An invalid guard must take no place in the subset of the entry.
        """
        problems = [find_guard_problem(guard) for guard in guards]
        for problem in filter(None, problems):
            self._log.warning('bad_guard_address', detail=problem)
        return tuple(
            guard
            for guard, problem in zip(guards, problems, strict=True)
            if not problem
        )

    def _confirm_list(self, address: str, now_ms: Milliseconds) -> None:
        known = self._lists.get(address)
        if known is not None:
            self._lists[address] = _ReplicaList(known.guards, now_ms)

    def _replace_list(
        self,
        address: str,
        guards: tuple[GuardAddress, ...],
        now_ms: Milliseconds,
    ) -> bool:
        """Store the list of a replica; return whether the guards changed."""
        former = self._lists.get(address)
        if former is not None:
            for guard in former.guards:
                self._last_listed_ms[guard.host_name] = former.confirmed_ms
        self._lists[address] = _ReplicaList(guards, now_ms)
        changed = [
            guard
            for guard in guards
            if _is_news(guard, self._guards.get(guard.host_name))
        ]
        self._guards.update((guard.host_name, guard) for guard in changed)
        return bool(changed)

    def _update_manifest(self, manifest: QueueManifest | None) -> bool:
        if manifest is None:
            return False
        known = self._manifest
        if known is not None and manifest.version <= known.version:
            return False
        self._manifest = manifest
        self._log.event(
            'manifest_taken',
            version=manifest.version,
            queues=len(manifest.queues),
        )
        return True

    def _drop_unlisted(self, now_ms: Milliseconds) -> bool:
        if now_ms < self._next_drop_ms:
            return False
        self._next_drop_ms = now_ms + _DROP_INTERVAL_MS
        oldest_ms = now_ms - _GUARD_RETENTION_MS
        listed = {
            guard.host_name
            for known in self._lists.values()
            if known.confirmed_ms >= oldest_ms
            for guard in known.guards
        }
        dropped = [
            name
            for name in self._guards
            if name not in listed
            and self._last_listed_ms.get(name, 0) < oldest_ms
        ]
        for name in dropped:
            self._guards.pop(name)
            self._last_listed_ms.pop(name, None)
        return bool(dropped)


def _known_versions(view: ClusterView) -> FetchView:
    """Return the next request to the replica that has sent a view."""
    return FetchView(0, view.guards_version, view.cancellations_version)


def _is_news(guard: GuardAddress, known: GuardAddress | None) -> bool:
    """Return whether a listed guard replaces the known one.

    A replica may still list the guard as it was before its endpoint reported.
    """
    if known is None or guard.link_address != known.link_address:
        return True
    return bool(guard.pool) and guard != known
