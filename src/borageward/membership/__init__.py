"""Membership of an entry or guard, registered with control."""

from __future__ import annotations

from borageward.membership.session import (
    MembershipListener,
    MembershipSession,
    SessionOptions,
)

__all__ = ('MembershipListener', 'MembershipSession', 'SessionOptions')
