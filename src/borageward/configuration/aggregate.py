"""The configuration and the rules for changes to it."""

from __future__ import annotations

from typing import TypeAlias

import attrs
import msgspec

from borageward.configuration.limits import Limits
from borageward.configuration.policy import ANY_KIND, Policy, Service
from borageward.configuration.service import ServiceValues, changed_service
from borageward.failures import Failure, FailureReason
from borageward.messages import configuration as changes

_ServiceChange: TypeAlias = ServiceValues | changes.RemoveService
_LIMIT_NAMES = frozenset(attrs.fields_dict(Limits))


@attrs.frozen(slots=True)
class Configuration:
    """Services, policies and limits; an immutable value for each revision."""

    services: dict[str, Service]
    policies: tuple[Policy, ...]
    limits: Limits
    approval_required: bool
    drained_workers: tuple[str, ...] = ()

    def policy_for(self, service: str, kind: str) -> Policy | None:
        """Return the policy that applies to tasks of a service and kind.

        It excludes the drained workers. ``None`` allows all workers.
        """
        policy = self.configured_policy(service, kind)
        if not self.drained_workers:
            return policy
        if policy is None:
            return Policy(service, kind, (), (), self.drained_workers)
        # This runs for each task, and attrs.evolve takes several microseconds.
        return Policy(
            policy.service,
            policy.kind,
            policy.places,
            policy.workers,
            self.drained_workers,
        )

    def configured_policy(self, service: str, kind: str) -> Policy | None:
        """Return the policy that operators configured for a kind.

        Without one, return the policy of the service for all kinds, or
        ``None``. Drained workers are not taken into account.
        """
        fallback = None
        for policy in self.policies:
            if policy.service != service:
                continue
            if policy.kind == kind:
                return policy
            if policy.kind == ANY_KIND:
                fallback = policy
        return fallback

    def apply(
        self,
        change: changes.ConfigurationChange,
    ) -> Configuration | Failure:
        """Return the changed configuration, or ``INVALID_CHANGE``.

        A batch takes effect as a whole or not at all.
        """
        if isinstance(change, changes.Batch):
            return self._apply_batch(change)
        if isinstance(change, changes.SetApproval):
            return attrs.evolve(self, approval_required=change.required)
        if isinstance(change, changes.SetLimit):
            return self._set_limit(change)
        if isinstance(change, changes.SetPolicy | changes.RemovePolicy):
            return self._change_policy(change)
        if isinstance(change, changes.SetDrained):
            return self._set_drained(change)
        return self._change_service(change)

    def _apply_batch(self, batch: changes.Batch) -> Configuration | Failure:
        current = self
        for change in batch.changes:
            changed = current.apply(change)
            if isinstance(changed, Failure):
                return changed
            current = changed
        return current

    def _set_drained(self, change: changes.SetDrained) -> Configuration:
        drained = set(self.drained_workers) - {change.worker}
        if change.drained:
            drained.add(change.worker)
        return attrs.evolve(self, drained_workers=tuple(sorted(drained)))

    def _set_limit(self, change: changes.SetLimit) -> Configuration | Failure:
        if change.name not in _LIMIT_NAMES:
            return _invalid(f'unknown limit {change.name!r}')
        if change.amount < 0:
            return _invalid(f'limit {change.name!r} must not be negative')
        limit_type = type(getattr(self.limits, change.name))
        limits = attrs.evolve(
            self.limits,
            **{change.name: limit_type(change.amount)},
        )
        return attrs.evolve(self, limits=limits)

    def _change_policy(
        self,
        change: changes.SetPolicy | changes.RemovePolicy,
    ) -> Configuration | Failure:
        if change.service not in self.services:
            return _invalid(f'unknown service {change.service!r}')
        key = (change.service, change.kind)
        kept = tuple(
            policy
            for policy in self.policies
            if (policy.service, policy.kind) != key
        )
        if isinstance(change, changes.SetPolicy):
            policy = Policy(
                change.service,
                change.kind,
                change.places,
                change.workers,
            )
            return attrs.evolve(self, policies=(*kept, policy))
        if len(kept) == len(self.policies):
            return _invalid(
                f'no policy for service {change.service}, kind {change.kind}',
            )
        return attrs.evolve(self, policies=kept)

    def _change_service(
        self,
        change: _ServiceChange,
    ) -> Configuration | Failure:
        services = dict(self.services)
        if isinstance(change, changes.RemoveService):
            return self._remove_service(change)
        service = changed_service(services.get(change.name), change)
        if isinstance(service, Failure):
            return service
        services[change.name] = service
        return attrs.evolve(self, services=services)

    def _remove_service(
        self,
        change: changes.RemoveService,
    ) -> Configuration | Failure:
        services = dict(self.services)
        if services.pop(change.name, None) is None:
            return _invalid(f'unknown service {change.name!r}')
        kept = tuple(
            policy for policy in self.policies if policy.service != change.name
        )
        return attrs.evolve(self, services=services, policies=kept)


def initial_configuration() -> Configuration:
    """Return the configuration of a new cluster, which is revision zero."""
    return Configuration({}, (), Limits(), approval_required=False)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the canonical JSON of a configuration, with sorted keys."""
    return msgspec.json.encode(configuration, order='sorted')


def decode_configuration(document: bytes) -> Configuration | Failure:
    """Return the configuration of a JSON document, or ``INVALID_CHANGE``."""
    try:
        return msgspec.json.decode(document, type=Configuration)
    except msgspec.DecodeError as error:
        return _invalid(str(error))


def _invalid(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_CHANGE, detail)
