"""What an identity may ask of control and of an entry."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from borageward.access.identity import Identity, Role
from borageward.failures import Failure, FailureReason
from borageward.messages import control

_OPERATORS = frozenset(
    (Role.VIEWER, Role.EDITOR, Role.APPROVER, Role.ADMINISTRATOR)
)
_ENTRIES = frozenset((Role.ENTRY,))
_MEMBERS = frozenset((Role.ENTRY, Role.GUARD))
_READERS = _OPERATORS | {Role.ENTRY, Role.CONTROL}
_ADMINISTRATORS = frozenset((Role.ADMINISTRATOR,))
# A request that is not listed is refused for everybody.
_ALLOWED: Mapping[type, frozenset[Role]] = MappingProxyType(
    {
        control.Claim: _ENTRIES,
        control.TakeOver: _ENTRIES,
        control.FindClaims: _ENTRIES,
        control.Finish: _ENTRIES,
        control.GuardsSince: _ENTRIES,
        control.RegisterEntry: _ENTRIES,
        control.RegisterGuard: frozenset((Role.GUARD,)),
        control.Heartbeat: _MEMBERS,
        control.EndIncarnation: _MEMBERS,
        control.Watch: _READERS,
        control.ReadConfiguration: _READERS,
        control.ReadHistory: _READERS,
        control.ReadInForce: _READERS,
        control.ReadControl: _READERS,
        control.ApplyChange: frozenset((Role.EDITOR, Role.ADMINISTRATOR)),
        control.Approve: frozenset((Role.APPROVER,)),
        control.AddLearner: _ADMINISTRATORS,
        control.PromoteVoter: _ADMINISTRATORS,
        control.RemoveVoter: _ADMINISTRATORS,
    }
)


def authorize(
    identity: Identity, request: control.ControlRequest
) -> Failure | None:
    """Return ``FORBIDDEN`` when the identity may not make the request.

    A change and an approval must carry the name of the certificate.
    """
    name = type(request).__name__
    allowed = _ALLOWED.get(type(request), frozenset())
    if identity.roles.isdisjoint(allowed):
        return _forbidden(f'{identity.name} has no role for {name}')
    claimed = identity.name
    if isinstance(request, control.ApplyChange):
        claimed = request.author
    if isinstance(request, control.Approve):
        claimed = request.approver
    if claimed != identity.name:
        return _forbidden(f'{identity.name} cannot act as {claimed}')
    return None


def authorize_caller(identity: Identity, service: str) -> Failure | None:
    """Return ``FORBIDDEN`` when a caller may not submit for a service."""
    if Role.CALLER not in identity.roles:
        return _forbidden(f'{identity.name} is no caller')
    if service not in identity.services:
        return _forbidden(f'{identity.name} is not bound to {service}')
    return None


def _forbidden(detail: str) -> Failure:
    return Failure(FailureReason.FORBIDDEN, detail)
