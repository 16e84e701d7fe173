"""Slot totals of guards, and the guards that may run given work."""

from __future__ import annotations

import collections
from collections.abc import Sequence

import attrs

from borageward.configuration import Configuration
from borageward.messages.control import GuardMember


@attrs.frozen(slots=True)
class Capacity:
    """Number of workers, and their slots in total and by place."""

    workers: int
    slots: int
    slots_by_place: dict[str, int]

    @property
    def text(self) -> str:
        """Return the capacity as part of a plan sentence."""
        if not self.workers:
            return 'no slots'
        places = ', '.join(
            f'{self.slots_by_place[place]} in {place}'
            for place in sorted(self.slots_by_place)
        )
        workers = quantity(self.workers, 'worker')
        return f'{quantity(self.slots, "slot")} on {workers} ({places})'


def quantity(amount: int, noun: str) -> str:
    """Return an amount with its noun in the singular or plural."""
    return f'{amount} {noun}' if amount == 1 else f'{amount} {noun}s'


def live_guards(guards: Sequence[GuardMember]) -> tuple[GuardMember, ...]:
    """Return the guards that have not ended and are not leaving."""
    return tuple(
        guard for guard in guards if not guard.ended_at and not guard.leaving
    )


def capacity_of(guards: Sequence[GuardMember]) -> Capacity:
    """Return the total capacity of guards."""
    by_place: collections.Counter[str] = collections.Counter()
    for guard in guards:
        by_place[guard.place] += guard.slots
    workers = {guard.worker for guard in guards}
    return Capacity(len(workers), by_place.total(), dict(by_place))


def guards_for(
    configuration: Configuration,
    service: str,
    kind: str,
    guards: Sequence[GuardMember],
) -> tuple[GuardMember, ...]:
    """Return the guards that may run work of a service and kind.

    These are the guards of the service that its policy for the kind allows.
    There are none if the configuration does not contain the service.
    """
    if service not in configuration.services:
        return ()
    policy = configuration.policy_for(service, kind)
    return tuple(
        guard
        for guard in guards
        if guard.service == service
        and (policy is None or policy.allows(guard.worker, guard.place))
    )
