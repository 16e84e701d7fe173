"""Membership of this replica in the cluster."""

from __future__ import annotations

import trio

from borageward.clock import Clock
from borageward.control.cluster.options import ClusterOptions
from borageward.discovery import ReplicaCaller
from borageward.control.consensus import Node
from borageward.failures import Failure, FailureReason
from borageward.messages.discovery import Joined, JoinCluster
from borageward.telemetry import EventLog

_RETRY_INTERVAL_MS = 300.0
# A member that hears no leader checks at this interval whether its id was
# retired.
_CHECK_INTERVAL_MS = 1500.0
_CALL_TIMEOUT_MS = 700.0


class Membership:
    """Joins the cluster through its leader and detects a removal.

    A removed replica no longer receives the log, so it sends its request to
    join again and learns from the reply that its id was retired.
    """

    def __init__(
        self,
        options: ClusterOptions,
        node: Node,
        voter_id: str,
        calls: ReplicaCaller,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Create the membership of one voter id."""
        self._options = options
        self._node = node
        self._calls = calls
        self._clock = clock
        self._log = log
        self._request = JoinCluster(
            voter_id,
            options.operator_address,
            options.address,
        )

    async def wait_until_retired(self) -> None:
        """Return once the id of this replica must not be used any more.

        The cluster has retired it, or another voter knows it with another disk.
        """
        while True:
            await self._clock.sleep_ms(self._interval_ms())
            if self._node.is_refused:
                return
            if self._node.hears_leader and self._is_member():
                continue
            if await self._request_to_join():
                self._log.warning('replica_retired')
                return

    def _interval_ms(self) -> float:
        return _CHECK_INTERVAL_MS if self._is_member() else _RETRY_INTERVAL_MS

    def _is_member(self) -> bool:
        voter_id = self._request.voter_id
        replicas = self._node.log.replicas.replicas
        return any(replica.voter_id == voter_id for replica in replicas)

    async def _request_to_join(self) -> bool:
        """Return whether the leader reports that the id was retired.

        Calls one known replica after the other until the leader answers. A
        leader that one of them names need not be among the seeds.
        """
        targets = list(self._targets())
        called: set[str] = {self._options.address}
        while targets:
            target = targets.pop(0)
            if target in called:
                continue
            called.add(target)
            reply = await self._calls.call(
                target,
                self._request,
                _CALL_TIMEOUT_MS,
            )
            if isinstance(reply, Joined):
                return reply.retired
            if isinstance(reply, Failure):
                targets = _leader_first(targets, reply)
            await trio.lowlevel.checkpoint()
        return False

    def _targets(self) -> tuple[str, ...]:
        known = [
            replica.member_address
            for replica in self._node.log.replicas.replicas
        ]
        addresses = dict.fromkeys((*known, *self._options.seed_addresses))
        addresses.pop(self._options.address, None)
        return tuple(addresses)


def _leader_first(targets: list[str], failure: Failure) -> list[str]:
    """Return the targets, first the leader that a follower has named."""
    if failure.reason is not FailureReason.NOT_LEADER or not failure.detail:
        return targets
    return [failure.detail, *targets]
