"""Runs one trio task for each known control replica."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio


class ReplicaFanout:
    """Starts a function once for each replica address, seeds first."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        run_for_address: Callable[[str], Awaitable[None]],
    ) -> None:
        """Use the seeds as initial addresses.

        ``run_for_address`` is called once with each address, in a task of its
        own that runs until it is cancelled.
        """
        self._addresses = dict.fromkeys(seeds)
        self._run_for_address = run_for_address
        self._started: set[str] = set()
        self._added = trio.Event()

    def add(self, addresses: tuple[str, ...]) -> None:
        """Add addresses; tasks are started for those that are new."""
        self._addresses.update(dict.fromkeys(addresses))
        if len(self._addresses) > len(self._started):
            self._added.set()

    async def run(self) -> None:
        """Start tasks for new addresses until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._start_new_tasks(nursery)
                await self._added.wait()
                self._added = trio.Event()

    def _start_new_tasks(self, nursery: trio.Nursery) -> None:
        for address in self._addresses:
            if address not in self._started:
                self._started.add(address)
                nursery.start_soon(self._run_for_address, address)
