"""Fencing of ended entry incarnations at the guards they may have used."""

from __future__ import annotations

from collections import OrderedDict

import attrs
import trio

from borageward.entry.batcher import Control
from borageward.entry.directory import Directory
from borageward.entry.guardlink import GuardLink
from borageward.entry.startgate import StartGate
from borageward.failures import Failure, FailureReason
from borageward.identity import JobId
from borageward.messages.control import (
    ClaimAnswer,
    GuardMember,
    GuardsSince,
    Membership,
)
from borageward.messages.guard import Fence, Fenced

_CALL_TIMEOUT_MS = 1000.0
_FENCE_TIMEOUT_S = 0.7
_MAX_GUARD_LISTS = 64
# Enough for two entries that end while there are 1,000 guards.
_MAX_CONFIRMATIONS = 2000


@attrs.frozen(slots=True)
class AcceptedTasks:
    """Tasks of one job that a guard accepted from an ended owner.

    ``owner`` is the ended entry incarnation, ``indexes`` are task indexes.
    """

    link: GuardLink
    owner: int
    indexes: tuple[int, ...]


@attrs.define(slots=True, eq=False)
class FenceResult:
    """Confirmations of all guards that were live at or after a claim.

    ``complete`` is true if every one of ``guards`` has fenced every one of
    the ended ``owners``; otherwise further tasks may have been accepted.
    """

    guards: tuple[GuardMember, ...]
    owners: tuple[int, ...]
    complete: bool = True
    confirmations: list[Confirmation] = attrs.field(factory=list)

    def accepted_tasks(self, job_id: JobId) -> list[AcceptedTasks]:
        """Return the tasks of a job that guards accepted from the owners."""
        return [
            AcceptedTasks(found.link, found.owner, found.seen[job_id])
            for found in self.confirmations
            if found.seen and job_id in found.seen
        ]


@attrs.define(slots=True, eq=False)
class Confirmation:
    """Reply of one guard to the fence of one entry incarnation.

    ``done`` is set once the request has ended. ``seen`` holds the accepted
    tasks by job, or ``None`` if the guard did not confirm the fence.
    """

    link: GuardLink
    owner: int
    done: trio.Event = attrs.field(factory=trio.Event)
    seen: dict[JobId, tuple[int, ...]] | None = None


class Fencing:
    """Fences each ended incarnation once at each guard.

    Confirmations are shared by the takeovers of all jobs of an owner.
    """

    def __init__(
        self,
        control: Control,
        directory: Directory,
        gate: StartGate,
    ) -> None:
        """Create the fencing of one entry, without confirmations."""
        self._control = control
        self._directory = directory
        self._gate = gate
        self._lock = trio.Lock()
        self._guard_lists: OrderedDict[tuple[int, ...], _GuardList] = (
            OrderedDict()
        )
        self._confirmed: OrderedDict[tuple[int, int], Confirmation]
        self._confirmed = OrderedDict()

    async def fence_owners(self, claim: ClaimAnswer) -> FenceResult | Failure:
        """Fence the ended owners of a claim at all guards live since it.

        Returns a failure if the guards could not be read from control. A
        guard that does not confirm makes the result incomplete.
        """
        owners = self._ended_owners(claim)
        async with self._lock:
            guard_list = await self._guards_since(claim.claimed_at, owners)
        if isinstance(guard_list, Failure):
            return guard_list
        fence_result = FenceResult(
            tuple(
                guard
                for guard in guard_list.guards
                if _was_live_after(guard.ended_at, claim.claimed_at)
            ),
            owners,
        )
        async with trio.open_nursery() as nursery:
            for guard in fence_result.guards:
                for owner in fence_result.owners:
                    nursery.start_soon(
                        self._fence_guard, fence_result, guard, owner
                    )
        return fence_result

    def _ended_owners(self, claim: ClaimAnswer) -> tuple[int, ...]:
        owners = {claim.owner, *claim.former_owners}
        return tuple(sorted(owners - {self._gate.incarnation}))

    async def _guards_since(
        self,
        position: int,
        owners: tuple[int, ...],
    ) -> _GuardList | Failure:
        """Return the guards live at or after a log position of control.

        The list is read once per set of ended owners. A guard that registers
        later learns that the owners have ended before its first start, so it
        need not be fenced.
        """
        known = self._guard_lists.get(owners)
        if known is not None and known.position <= position:
            return known
        reply = await self._control.call(
            GuardsSince(position),
            _CALL_TIMEOUT_MS,
        )
        if isinstance(reply, Failure):
            return reply
        if not isinstance(reply, Membership):
            return Failure(FailureReason.MALFORMED_MESSAGE)
        guard_list = _GuardList(position, reply.guards)
        self._guard_lists[owners] = guard_list
        while len(self._guard_lists) > _MAX_GUARD_LISTS:
            self._guard_lists.popitem(last=False)
        return guard_list

    async def _fence_guard(
        self,
        fence_result: FenceResult,
        guard: GuardMember,
        owner: int,
    ) -> None:
        if guard.ended_at:
            fence_result.complete = False
            return
        confirmation = await self._request_confirmation(guard, owner)
        if confirmation.seen is None:
            fence_result.complete = False
            return
        fence_result.confirmations.append(confirmation)

    async def _request_confirmation(
        self,
        guard: GuardMember,
        owner: int,
    ) -> Confirmation:
        key = (guard.incarnation, owner)
        known = self._confirmed.get(key)
        if known is not None:
            await known.done.wait()
            return known
        link = self._directory.link_to(guard)
        confirmation = Confirmation(link, owner)
        self._confirmed[key] = confirmation
        with trio.move_on_after(_FENCE_TIMEOUT_S):
            fenced = await link.fence(Fence(self._gate.incarnation, owner))
            confirmation.seen = _seen_tasks(fenced, guard)
        confirmation.done.set()
        if confirmation.seen is None:
            # Let the next resubmission fence this guard again.
            self._drop_confirmation(key)
        while len(self._confirmed) > _MAX_CONFIRMATIONS:
            self._drop_confirmation(next(iter(self._confirmed)))
        return confirmation

    def _drop_confirmation(self, key: tuple[int, int]) -> None:
        dropped = self._confirmed.pop(key, None)
        if dropped is not None:
            self._directory.unpin(dropped.link)


@attrs.frozen(slots=True)
class _GuardList:
    """Guards that were live at or after a log position of control."""

    position: int
    guards: tuple[GuardMember, ...]


def _seen_tasks(
    fenced: Fenced | None,
    guard: GuardMember,
) -> dict[JobId, tuple[int, ...]] | None:
    if fenced is None or fenced.guard_incarnation != guard.incarnation:
        return None
    return {seen.job_id: seen.indexes for seen in fenced.seen}


def _was_live_after(ended_at: int, position: int) -> bool:
    return ended_at == 0 or ended_at >= position
