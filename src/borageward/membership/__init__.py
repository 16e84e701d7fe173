"""Membership of a process in the cluster."""

from __future__ import annotations

from borageward.membership.session import (
    MembershipListener,
    MembershipSession,
    SessionOptions,
)

__all__ = ('MembershipListener', 'MembershipSession', 'SessionOptions')
