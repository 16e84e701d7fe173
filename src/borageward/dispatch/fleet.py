"""Links of an entry to a subset of the guards."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import attrs
import trio

from borageward.clock import Clock, Milliseconds
from borageward.dispatch.guardlink import GuardLink
from borageward.failures import Failure
from borageward.messages.discovery import GuardAddress
from borageward.messages.runs import RunOutcome, RunRef, StartRuns
from borageward.policy.guard_subset import GuardSubset
from borageward.telemetry import EventLog
from borageward.transport import parse_peer_address

# Called with the guard's name, a run, its outcome and a description for people.
EndHandler = Callable[[str, RunRef, RunOutcome, str], None]


# A link whose session has not opened in this time counts as unusable.
_OPENING_MS = 600.0
# A link outside the subset is kept for this time: a guard that the subset left
# out only for a moment keeps its session.
_SURPLUS_MS = 3000.0


@attrs.frozen(slots=True)
class _Order:
    message: StartRuns
    ref: RunRef
    waited_ms: Milliseconds


class Fleet:
    """Links to the guards of the entry's subset, one for each guard.

    ``update_links`` has to be called when the directory has changed, and at
    intervals, because the subset depends on the state of the links.
    """

    def __init__(
        self,
        entry: str,
        subset: GuardSubset,
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
        self._subset = subset
        self._on_end = on_end
        self._on_change = on_change
        self._clock = clock
        self._log = log
        self._links: dict[str, GuardLink] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._pending: dict[tuple[str, str, int], list[_Order]] = {}
        self._guards: dict[str, GuardAddress] = {}
        self._added_ms: dict[str, Milliseconds] = {}
        # Since when links outside the subset have been surplus.
        self._surplus_since_ms: dict[str, Milliseconds] = {}

    def links(self) -> Iterable[GuardLink]:
        """Return the links of the subset, with or without a session."""
        return self._links.values()

    def heard_ms(self) -> Milliseconds:
        """Return when any guard was last heard; -inf without one."""
        return max(
            (link.heard_ms for link in self._links.values()),
            default=-math.inf,
        )

    def report_shortage(self, pool: str, label: str) -> None:
        """Enlarge the subset: a task found no endpoint in a pool.

        ``label`` is the label that the task requires, or empty.
        """
        self._subset.demand.report_shortage(pool)
        if label:
            self._subset.demand.report_label(pool, label)

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
        for (guard, job_id, step), orders in pending.items():
            first = orders[0]
            starts = tuple(
                (order.ref.task.index, order.ref.run) for order in orders
            )
            self._links[guard].start(first.message, starts)
            self._log.event(
                'runs_ordered',
                job=job_id,
                step=step,
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

    def replace_guards(self, guards: dict[str, GuardAddress]) -> None:
        """Replace the guards to choose the subset from."""
        self._guards = dict(guards)
        self._subset.update(guards.values())

    def update_links(self, nursery: trio.Nursery) -> None:
        """Open links to guards that joined the subset and close others.

        A link is closed when its guard has another address now, or has been
        outside the subset for a while, and it has no runs.
        """
        for known in self._links.values():
            known.check()
        chosen = self._subset.choose(self._is_usable)
        for name, link in tuple(self._links.items()):
            if name in chosen:
                self._surplus_since_ms.pop(name, None)
            if self._is_obsolete(link, name in chosen):
                self._close_link(name)
        for name in chosen:
            if name not in self._links:
                self._open_link(self._guards[name], nursery)

    def _is_usable(self, guard: str) -> bool:
        """Return whether a guard takes work, as far as is known."""
        link = self._links.get(guard)
        if link is None:
            return True
        state = link.state
        if state is not None:
            return state.accepting
        return self._clock.now_ms() - self._added_ms[guard] < _OPENING_MS

    def _is_obsolete(self, link: GuardLink, chosen: bool) -> bool:
        if not link.is_idle:
            return False
        guard = self._guards.get(link.name)
        if guard is not None and guard.link_address != str(link.address):
            return not link.is_open
        if chosen:
            return False
        now_ms = self._clock.now_ms()
        since_ms = self._surplus_since_ms.setdefault(link.name, now_ms)
        return now_ms - since_ms >= _SURPLUS_MS

    def _close_link(self, name: str) -> None:
        self._scopes.pop(name).cancel()
        self._links.pop(name)
        self._added_ms.pop(name)
        self._surplus_since_ms.pop(name, None)
        self._log.event('guard_link_closed', guard=name, links=len(self._links))

    def _open_link(self, guard: GuardAddress, nursery: trio.Nursery) -> None:
        address = parse_peer_address(guard.link_address)
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
        self._added_ms[name] = self._clock.now_ms()
        self._scopes[name] = scope
        nursery.start_soon(_run_link, link, scope)


async def _run_link(link: GuardLink, scope: trio.CancelScope) -> None:
    with scope:
        await link.run()
