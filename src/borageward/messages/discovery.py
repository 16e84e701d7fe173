"""Messages by which processes find each other through control replicas."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from borageward.messages.base import Message, Rejected
from borageward.queues.manifest import QueueManifest


class GuardAddress(msgspec.Struct, frozen=True, array_like=True):
    """Location of a guard.

    ``link_address`` is the address that entries connect to, and ``zone`` the
    availability zone of the host. ``pool`` and ``labels`` are those of its
    endpoint, empty until the endpoint has reported to the guard.
    """

    host_name: str
    link_address: str
    zone: str
    pool: str = ''
    labels: tuple[str, ...] = ()


class Cancellation(msgspec.Struct, frozen=True, array_like=True):
    """Request of a caller to end a job, wherever it is in progress.

    ``age_ms`` is the time since the request. A job that was submitted after it
    goes on.
    """

    job_id: str
    age_ms: float


class AnnounceGuard(Message, frozen=True):
    """Announce that a guard is alive.

    A replica drops a guard that does not repeat its announcement in time.
    """

    guard: GuardAddress


class Announced(Message, frozen=True):
    """Reply to ``AnnounceGuard`` with the addresses of all replicas."""

    replicas: tuple[str, ...]


class FetchView(Message, frozen=True):
    """Ask for what has changed, and report cancellations.

    The versions are those that the caller has, zero for none. ``reports`` are
    cancellations of jobs that the calling entry does not own; the replica
    hands them on to all entries. Answered by ``ClusterView``.
    """

    manifest_version: int
    guards_version: int
    cancellations_version: int = 0
    reports: tuple[Cancellation, ...] = ()


class ClusterView(Message, frozen=True):
    """Manifest, guards, replicas and cancellations of one control replica.

    ``manifest`` is ``None`` when there is none or the caller's version is the
    same or newer. ``guards`` is ``None`` when the caller has
    ``guards_version``. ``replicas`` are the addresses of all replicas.
    ``cancellations`` are the recent ones that the caller does not have. A
    replica whose ``cancellations_version`` is zero is of an earlier release
    and has ignored the reports of the caller.
    """

    manifest: QueueManifest | None
    guards_version: int
    guards: tuple[GuardAddress, ...] | None
    replicas: tuple[str, ...]
    cancellations_version: int = 0
    cancellations: tuple[Cancellation, ...] = ()


class JoinCluster(Message, frozen=True):
    """Ask the leader to add a replica to the cluster as a learner.

    ``operator_address`` is for operators, ``address`` for other processes of
    the dispatcher.
    """

    voter_id: str
    operator_address: str
    address: str


class Joined(Message, frozen=True):
    """Reply to ``JoinCluster``.

    The replica is a member, unless ``retired``: its voter id was removed from
    the cluster and must not be used again.
    """

    retired: bool


DiscoveryRequest: TypeAlias = AnnounceGuard | FetchView | JoinCluster
DiscoveryReply: TypeAlias = Announced | ClusterView | Joined | Rejected
