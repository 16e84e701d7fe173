"""Links of an entry to all guards."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs
import trio

from borageward.clock import Clock, Milliseconds
from borageward.dispatch.guardlink import GuardLink
from borageward.failures import Failure
from borageward.messages.discovery import GuardAddress
from borageward.messages.runs import RunOutcome, RunRef, StartRuns
from borageward.telemetry import EventLog
from borageward.transport import parse_address

# Called with the guard's name, a run, its outcome and a description for people.
EndHandler = Callable[[str, RunRef, RunOutcome, str], None]


@attrs.frozen(slots=True)
class _Order:
    message: StartRuns
    ref: RunRef
    waited_ms: Milliseconds


class Fleet:
    """Links to the guards of the directory, one for each guard."""

    def __init__(
        self,
        entry: str,
        on_end: EndHandler,
        on_change: Callable[[], None],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Prepare links for the sessions of one entry incarnation.

        ``on_change`` is called when the state of a link has changed. The
        callbacks must not block.
        """
        self._entry = entry
        self._on_end = on_end
        self._on_change = on_change
        self._clock = clock
        self._log = log
        self._links: dict[str, GuardLink] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._pending: dict[tuple[str, str, int], list[_Order]] = {}

    def links(self) -> Iterable[GuardLink]:
        """Return the links to all guards, with or without a session."""
        return self._links.values()

    def order(
        self,
        guard: str,
        message: StartRuns,
        ref: RunRef,
        waited_ms: Milliseconds,
    ) -> None:
        """Order a run with the next ``flush``.

        ``waited_ms`` is the time since the job arrived, for the log.
        """
        key = (guard, message.job_id, message.step)
        order = _Order(message, ref, waited_ms)
        self._pending.setdefault(key, []).append(order)
        self._links[guard].reserve(ref, message.demand)

    def flush(self) -> None:
        """Send the pending orders, one message per guard, job and step."""
        pending = self._pending
        self._pending = {}
        for (guard, job_id, _step), orders in pending.items():
            first = orders[0]
            starts = tuple(
                (order.ref.task.index, order.ref.run) for order in orders
            )
            self._links[guard].start(first.message, starts)
            self._log.event(
                'runs_ordered',
                job=job_id,
                guard=guard,
                tasks=','.join(str(index) for index, _ in starts),
                run=max(run for _, run in starts),
                waited_ms=round(first.waited_ms),
                slack_ms=round(first.message.slack_ms),
                room=self._links[guard].room().cpu_milli,
            )

    def stop(self, runs: Iterable[tuple[str, RunRef]]) -> None:
        """Stop runs at their guards; guards without a link are skipped."""
        by_guard: dict[str, list[RunRef]] = {}
        for guard, ref in runs:
            by_guard.setdefault(guard, []).append(ref)
        for guard, refs in by_guard.items():
            link = self._links.get(guard)
            if link is not None:
                link.stop(refs)

    def update_links(
        self,
        guards: dict[str, GuardAddress],
        nursery: trio.Nursery,
    ) -> None:
        """Open links to new guards and close obsolete links.

        A link is obsolete when its guard is not listed, or has another
        address, and it has neither runs nor an open session.
        """
        for link in tuple(self._links.values()):
            if self._is_obsolete(link, guards.get(link.name)):
                self._scopes.pop(link.name).cancel()
                self._links.pop(link.name)
        for name, guard in guards.items():
            if name not in self._links:
                self._open_link(guard, nursery)

    def _is_obsolete(self, link: GuardLink, guard: GuardAddress | None) -> bool:
        if guard is not None and guard.link_address == str(link.address):
            return False
        return link.is_idle and not link.is_open

    def _open_link(self, guard: GuardAddress, nursery: trio.Nursery) -> None:
        address = parse_address(guard.link_address)
        if isinstance(address, Failure):
            self._log.warning('bad_guard_address', detail=address.detail)
            return
        name = guard.host_name

        def on_end(  # noqa: WPS430 Binds the name of the guard.
            ref: RunRef,
            outcome: RunOutcome,
            detail: str,
        ) -> None:
            self._on_end(name, ref, outcome, detail)

        link = GuardLink(
            name,
            address,
            self._entry,
            on_end,
            self._on_change,
            self._clock,
            self._log,
        )
        scope = trio.CancelScope()
        self._links[name] = link
        self._scopes[name] = scope
        nursery.start_soon(_run_link, link, scope)


async def _run_link(link: GuardLink, scope: trio.CancelScope) -> None:
    with scope:
        await link.run()
