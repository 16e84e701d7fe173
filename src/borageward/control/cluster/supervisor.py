"""The replica of one process, under one voter id after the other."""

from __future__ import annotations

import random

import trio

from borageward.clock import Clock
from borageward.control.cluster.identity import (
    choose_identity,
    renew_identity,
)
from borageward.control.cluster.network import NetworkFactory
from borageward.control.cluster.options import ClusterOptions
from borageward.control.cluster.replica import ClusterReplica
from borageward.control.storage import Disk, StorageError
from borageward.failures import Failure, FailureReason
from borageward.telemetry import EventLog

_DISK_FULL_RETRY_MS = 500.0


class ReplicaSupervisor:
    """Runs a replica on a disk, and another one each time its id is retired."""

    def __init__(
        self,
        options: ClusterOptions,
        disk: Disk,
        clock: Clock,
        log: EventLog,
        open_network: NetworkFactory,
        source: random.Random,
    ) -> None:
        """Prepare replicas that keep their files on a disk."""
        self._options = options
        self._disk = disk
        self._clock = clock
        self._log = log
        self._open_network = open_network
        self._source = source
        self._replica: ClusterReplica | None = None

    @property
    def replica(self) -> ClusterReplica | None:
        """Return the running replica, or ``None`` while none is open."""
        return self._replica

    async def run(self) -> None:
        """Run until cancelled.

        Raises ``StorageError`` when the disk failed or its files are
        inconsistent.
        """
        while True:
            await self._run_replica()
            await self._renew_identity()

    async def _renew_identity(self) -> None:
        """Give the disk a new id, as soon as there is space for it."""
        failure = await renew_identity(self._options, self._disk)
        while failure is not None:
            if failure.reason is not FailureReason.DISK_FULL:
                raise StorageError(failure)
            await self._clock.sleep_ms(_DISK_FULL_RETRY_MS)
            failure = await renew_identity(self._options, self._disk)

    async def _run_replica(self) -> None:
        identity = await choose_identity(self._options, self._disk)
        if isinstance(identity, Failure):
            raise StorageError(identity)
        async with trio.open_nursery() as nursery:
            replica = ClusterReplica(
                self._options,
                identity,
                self._disk,
                self._clock,
                self._log,
                self._open_network(nursery),
                self._source,
            )
            await replica.node.open()
            self._log.event('replica_opened', replica=identity.voter_id)
            self._replica = replica
            await replica.run()
            self._replica = None
            await replica.close()
            nursery.cancel_scope.cancel()
