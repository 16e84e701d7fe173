"""Authorization of requests to control and of job submission at an entry."""

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
_ENTRIES_AND_GUARDS = frozenset((Role.ENTRY, Role.GUARD))
_READERS = _OPERATORS | {Role.ENTRY, Role.CONTROL}
_ADMINISTRATORS = frozenset((Role.ADMINISTRATOR,))
# A request type that is not listed is forbidden for every role.
_ALLOWED_ROLES: Mapping[type, frozenset[Role]] = MappingProxyType(
    {
        control.Claim: _ENTRIES,
        control.TakeOver: _ENTRIES,
        control.FindClaims: _ENTRIES,
        control.Finish: _ENTRIES,
        control.GuardsSince: _ENTRIES,
        control.RegisterEntry: _ENTRIES,
        control.RegisterGuard: frozenset((Role.GUARD,)),
        control.Heartbeat: _ENTRIES_AND_GUARDS,
        control.EndIncarnation: _ENTRIES_AND_GUARDS,
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
    """Return ``FORBIDDEN`` if the identity may not send the request to control.

    The author of a change and the approver of an approval must be the name of
    the identity. Returns ``None`` if the request is allowed.
    """
    name = type(request).__name__
    allowed = _ALLOWED_ROLES.get(type(request), frozenset())
    if identity.roles.isdisjoint(allowed):
        return _forbidden(f'{identity.name} has no role for request {name}')
    stated_name = identity.name
    if isinstance(request, control.ApplyChange):
        stated_name = request.author
    if isinstance(request, control.Approve):
        stated_name = request.approver
    if stated_name != identity.name:
        return _forbidden(f'{identity.name} may not act as {stated_name}')
    return None


def authorize_caller(identity: Identity, service: str) -> Failure | None:
    """Return ``FORBIDDEN`` if the identity may not submit jobs of a service.

    It needs the role ``caller``, and the service among its services. Returns
    ``None`` if submission is allowed.
    """
    if Role.CALLER not in identity.roles:
        return _forbidden(f'{identity.name} does not have the role caller')
    if service not in identity.services:
        return _forbidden(
            f'{identity.name} is not allowed to submit for service {service}'
        )
    return None


def _forbidden(detail: str) -> Failure:
    return Failure(FailureReason.FORBIDDEN, detail)
