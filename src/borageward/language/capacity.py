"""Slots of live workers, and which of them may take which work."""

from __future__ import annotations

import collections
from collections.abc import Sequence

import attrs

from borageward.configuration import Configuration
from borageward.messages.control import GuardMember


@attrs.frozen(slots=True)
class Area:
    """Workers and slots in total and by place."""

    workers: int
    slots: int
    slots_by_place: dict[str, int]

    @property
    def text(self) -> str:
        """Return the figures as part of a sentence."""
        if not self.workers:
            return 'no slots'
        places = ', '.join(
            f'{self.slots_by_place[place]} in {place}'
            for place in sorted(self.slots_by_place)
        )
        workers = counted(self.workers, 'worker')
        return f'{counted(self.slots, "slot")} on {workers} ({places})'


def counted(amount: int, noun: str) -> str:
    """Return a number with its noun in the singular or plural."""
    return f'{amount} {noun}' if amount == 1 else f'{amount} {noun}s'


def live_guards(guards: Sequence[GuardMember]) -> tuple[GuardMember, ...]:
    """Return the guards that live and are not leaving."""
    return tuple(
        guard for guard in guards if not guard.ended_at and not guard.leaving
    )


def area_of(guards: Sequence[GuardMember]) -> Area:
    """Return the figures of some guards."""
    by_place: collections.Counter[str] = collections.Counter()
    for guard in guards:
        by_place[guard.place] += guard.slots
    workers = {guard.worker for guard in guards}
    return Area(len(workers), by_place.total(), dict(by_place))


def guards_for(
    configuration: Configuration,
    service: str,
    kind: str,
    guards: Sequence[GuardMember],
) -> tuple[GuardMember, ...]:
    """Return the guards that may take work of a service and kind."""
    if service not in configuration.services:
        return ()
    policy = configuration.policy_for(service, kind)
    return tuple(
        guard
        for guard in guards
        if guard.service == service
        and (policy is None or policy.allows(guard.worker, guard.place))
    )
