"""Guard side of running tasks: starts, leases, run ends and entry sessions."""

from __future__ import annotations

from borageward.runs.port import (
    EndpointPort,
    EndpointStatus,
    EndedRun,
    EndpointLists,
    HoldRequest,
    ListedRun,
    StartReply,
    StartRequest,
)
from borageward.runs.service import RunService

__all__ = (
    'EndedRun',
    'EndpointLists',
    'EndpointPort',
    'EndpointStatus',
    'HoldRequest',
    'ListedRun',
    'RunService',
    'StartReply',
    'StartRequest',
)
