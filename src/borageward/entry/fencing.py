"""Fences of ended entry incarnations at every guard that may know them."""

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
_MAX_SURVEYS = 64
# Two entries that end while there are 1,000 guards.
_MAX_CONFIRMATIONS = 2000


@attrs.frozen(slots=True)
class Sighting:
    """Tasks of one job that a guard accepted from an ended owner."""

    link: GuardLink
    owner: int
    indexes: tuple[int, ...]


@attrs.define(slots=True, eq=False)
class Survey:
    """Answers of all guards that lived since a claim.

    ``complete`` tells whether every one of them has fenced the ended owners.
    """

    guards: tuple[GuardMember, ...]
    owners: tuple[int, ...]
    complete: bool = True
    confirmations: list[Confirmation] = attrs.field(factory=list)

    def sightings(self, job_id: JobId) -> list[Sighting]:
        """Return where tasks of a job were accepted."""
        return [
            Sighting(found.link, found.owner, found.seen[job_id])
            for found in self.confirmations
            if found.seen and job_id in found.seen
        ]


@attrs.define(slots=True, eq=False)
class Confirmation:
    """Answer of one guard to the fence of one incarnation."""

    link: GuardLink
    owner: int
    done: trio.Event = attrs.field(factory=trio.Event)
    seen: dict[JobId, tuple[int, ...]] | None = None


class Fencing:
    """Fences each ended incarnation once at each guard."""

    def __init__(
        self,
        control: Control,
        directory: Directory,
        gate: StartGate,
    ) -> None:
        """Prepare fences of one entry."""
        self._control = control
        self._directory = directory
        self._gate = gate
        self._lock = trio.Lock()
        self._known: OrderedDict[tuple[int, ...], _Since] = OrderedDict()
        self._confirmed: OrderedDict[tuple[int, int], Confirmation]
        self._confirmed = OrderedDict()

    async def survey(self, claim: ClaimAnswer) -> Survey | Failure:
        """Fence the owners of a claim that have ended, at every guard."""
        owners = self._ended_owners(claim)
        async with self._lock:
            since = await self._guards_since(claim.claimed_at, owners)
        if isinstance(since, Failure):
            return since
        survey = Survey(
            tuple(
                guard
                for guard in since.guards
                if _lived_since(guard.ended_at, claim.claimed_at)
            ),
            owners,
        )
        async with trio.open_nursery() as nursery:
            for guard in survey.guards:
                for owner in survey.owners:
                    nursery.start_soon(self._ask, survey, guard, owner)
        return survey

    def _ended_owners(self, claim: ClaimAnswer) -> tuple[int, ...]:
        owners = {claim.owner, *claim.former_owners}
        return tuple(sorted(owners - {self._gate.incarnation}))

    async def _guards_since(
        self,
        position: int,
        owners: tuple[int, ...],
    ) -> _Since | Failure:
        """Read the guards once for the same ended owners.

        A guard that registers after an owner's end is told of it before its
        first start, so it need not be asked.
        """
        known = self._known.get(owners)
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
        since = _Since(position, reply.guards)
        self._known[owners] = since
        while len(self._known) > _MAX_SURVEYS:
            self._known.popitem(last=False)
        return since

    async def _ask(
        self,
        survey: Survey,
        guard: GuardMember,
        owner: int,
    ) -> None:
        if guard.ended_at:
            survey.complete = False
            return
        confirmation = await self._confirmation(guard, owner)
        if confirmation.seen is None:
            survey.complete = False
            return
        survey.confirmations.append(confirmation)

    async def _confirmation(
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
            confirmation.seen = _seen_of(fenced, guard)
        confirmation.done.set()
        if confirmation.seen is None:
            # The next resubmission asks this guard again.
            self._forget(key)
        while len(self._confirmed) > _MAX_CONFIRMATIONS:
            self._forget(next(iter(self._confirmed)))
        return confirmation

    def _forget(self, key: tuple[int, int]) -> None:
        forgotten = self._confirmed.pop(key, None)
        if forgotten is not None:
            self._directory.unpin(forgotten.link)


@attrs.frozen(slots=True)
class _Since:
    """Guards that lived at or after a position."""

    position: int
    guards: tuple[GuardMember, ...]


def _seen_of(
    fenced: Fenced | None,
    guard: GuardMember,
) -> dict[JobId, tuple[int, ...]] | None:
    if fenced is None or fenced.guard_incarnation != guard.incarnation:
        return None
    return {seen.job_id: seen.indexes for seen in fenced.seen}


def _lived_since(ended_at: int, position: int) -> bool:
    return ended_at == 0 or ended_at >= position
