"""Choice of the guards that an entry keeps links to.

With a link from every entry to every guard, heartbeats and states grow with
the product of both classes, and a small entry host spends its processor on
them. An entry therefore keeps links to a subset of the guards of each pool.

The guards are ranked by a hash of the entry's and the guard's host names
(rendezvous hashing). Different entries get different subsets, and a guard that
appears or disappears changes the subsets of few entries. Guards of the entry's
own availability zone and of other zones alternate in the ranking, so that the
loss of a zone leaves part of the subset.

Load that the subset must bear: a burst that arrives at one entry (the subset
grows while tasks find no endpoint), and guards that are killed, cut off or
drained together (they do not count, and the next ones in the ranking replace
them).
"""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Callable, Iterable, Sequence

import attrs

from borageward.clock import Clock, Milliseconds
from borageward.messages.discovery import GuardAddress

_HASH_BYTES = 8
# Links that are added at a time while tasks find no endpoint.
_GROWTH_LINKS = 8
# The first states of added links arrive within this time.
_GROWTH_INTERVAL_MS = 150.0
# Time without a shortage after which added links are given up again.
_SHRINK_AFTER_MS = 4000.0
# Links to guards with a label that waiting tasks require.
_LABEL_LINKS = 8
_LABEL_RETENTION_MS = 10_000.0


@attrs.frozen(slots=True)
class SubsetSize:
    """Number of usable links of an entry to the guards of each pool.

    ``most`` limits the number to which a shortage raises it.
    """

    base: int = 24
    most: int = 48


@attrs.define(slots=True)
class _Growth:
    """Links of one pool beyond the base, and the time of the last shortage."""

    links: int = 0
    grown_ms: Milliseconds = float('-inf')
    short_ms: Milliseconds = float('-inf')


class LinkDemand:
    """What the waiting tasks of an entry ask of its subset."""

    def __init__(self, size: SubsetSize, clock: Clock) -> None:
        """Start with the base size for every pool."""
        self._size = size
        self._clock = clock
        self._growth: dict[str, _Growth] = {}
        self._labels: dict[tuple[str, str], Milliseconds] = {}

    def report_shortage(self, pool: str) -> None:
        """Record that a task found no endpoint in a pool."""
        growth = self._growth.setdefault(pool, _Growth())
        now_ms = self._clock.now_ms()
        growth.short_ms = now_ms
        if now_ms - growth.grown_ms >= _GROWTH_INTERVAL_MS:
            growth.grown_ms = now_ms
            most = max(0, self._size.most - self._size.base)
            growth.links = min(most, growth.links + _GROWTH_LINKS)

    def report_label(self, pool: str, label: str) -> None:
        """Record that a task requires a label."""
        self._labels[(pool, label)] = self._clock.now_ms()

    def links(self, pool: str) -> int:
        """Return the number of usable links wanted for a pool."""
        growth = self._growth.get(pool)
        if growth is None:
            return self._size.base
        if self._clock.now_ms() - growth.short_ms > _SHRINK_AFTER_MS:
            growth.links = 0
        return self._size.base + growth.links

    def labels(self) -> list[tuple[str, str]]:
        """Return the pools and labels that tasks have required recently."""
        oldest_ms = self._clock.now_ms() - _LABEL_RETENTION_MS
        return [
            key
            for key, asked_ms in self._labels.items()
            if asked_ms > oldest_ms
        ]


class GuardSubset:
    """The guards that one entry ranks first."""

    def __init__(self, entry: str, zone: str, demand: LinkDemand) -> None:
        """Rank for an entry by its host name and availability zone."""
        self._entry = entry
        self._zone = zone
        self._demand = demand
        self._rankings: dict[str, list[GuardAddress]] = {}

    @property
    def demand(self) -> LinkDemand:
        """Return the demand that decides the size of the subset."""
        return self._demand

    def update(self, guards: Iterable[GuardAddress]) -> None:
        """Rank the guards that are known now."""
        by_pool: dict[str, list[GuardAddress]] = {}
        for guard in guards:
            by_pool.setdefault(guard.pool, []).append(guard)
        self._rankings = {
            pool: self._rank(members) for pool, members in by_pool.items()
        }

    def choose(self, is_usable: Callable[[str], bool]) -> set[str]:
        """Return the host names of the guards to keep links to.

        ``is_usable`` says whether a guard can take work as far as is known. A
        guard that cannot is kept, but does not count.
        """
        chosen: set[str] = set()
        for pool, ranking in self._rankings.items():
            links = self._demand.links(pool)
            chosen.update(_first_usable(ranking, links, is_usable))
        for pool, label in self._demand.labels():
            labelled = [
                guard
                for guard in self._rankings.get(pool, ())
                if label in guard.labels
            ]
            chosen.update(_first_usable(labelled, _LABEL_LINKS, is_usable))
        return chosen

    def _rank(self, guards: Sequence[GuardAddress]) -> list[GuardAddress]:
        by_score = sorted(guards, key=self._score)
        near = [guard for guard in by_score if guard.zone == self._zone]
        far = [guard for guard in by_score if guard.zone != self._zone]
        pairs = itertools.zip_longest(near, far)
        alternating = itertools.chain.from_iterable(pairs)
        return [guard for guard in alternating if guard is not None]

    def _score(self, guard: GuardAddress) -> bytes:
        names = f'{self._entry}\0{guard.host_name}'.encode()
        return hashlib.blake2b(names, digest_size=_HASH_BYTES).digest()


def _first_usable(
    ranking: Iterable[GuardAddress],
    count: int,
    is_usable: Callable[[str], bool],
) -> list[str]:
    """Return guards in order until ``count`` usable ones are included.

    At most twice that many are returned, so that a lost network does not make
    an entry call the whole fleet.
    """
    names: list[str] = []
    usable = 0
    for guard in ranking:
        if usable == count or len(names) == 2 * count:
            break
        names.append(guard.host_name)
        usable += is_usable(guard.host_name)
    return names
