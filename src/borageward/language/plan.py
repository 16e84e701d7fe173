"""Plans, which describe the effects of a change for its approval.

An approval is bound to the digest of the text and base revision of a plan.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

import attrs

from borageward.configuration import Configuration
from borageward.failures import Failure
from borageward.language.capacity import capacity_of, live_guards, quantity
from borageward.language.effects import Comparison, effects
from borageward.language.sentences import sentence_of
from borageward.messages.configuration import ConfigurationChange
from borageward.messages.control import ApplyChange, GuardMember

_DIGEST_BYTES = 16
_REVISION_BYTES = 8
_CHANGE_PREFIX = 'Change: '


@attrs.frozen(slots=True)
class Plan:
    """Change of the configuration of a base revision, with its description."""

    base_revision: int
    change: ConfigurationChange
    text: str

    @property
    def digest(self) -> bytes:
        """Return the 16-byte digest of the text and base revision."""
        return plan_digest(self.text, self.base_revision)


def plan_digest(text: str, base_revision: int) -> bytes:
    """Return the 16-byte digest of a plan, to which approvals are bound."""
    revision = base_revision.to_bytes(_REVISION_BYTES, 'big')
    document = revision + text.encode()
    return hashlib.blake2b(document, digest_size=_DIGEST_BYTES).digest()


def plan_states_change(text: str, change: ConfigurationChange) -> bool:
    """Return whether a plan text contains the sentence of a change.

    A plan states its change as a sentence of the language on a line of its
    own, so that an approval of the text is an approval of the change.
    """
    return f'{_CHANGE_PREFIX}{sentence_of(change)}' in text.splitlines()


def plan_covers(request: ApplyChange) -> bool:
    """Return whether the plan of a request is a plan of its change.

    The digest must match the plan text and base revision of the request, and
    the text must state its change. Control checks this where an approval is
    required, because the digest of an approved plan could otherwise be sent
    with another change.
    """
    digest = plan_digest(request.plan_text, request.base_revision)
    if digest != request.plan_digest:
        return False
    return plan_states_change(request.plan_text, request.change)


def make_plan(
    configuration: Configuration,
    base_revision: int,
    change: ConfigurationChange,
    guards: Sequence[GuardMember],
) -> Plan | Failure:
    """Return the plan of a change, with slot counts of the live guards.

    Returns ``INVALID_CHANGE`` if the change does not apply to the
    configuration.
    """
    changed = configuration.apply(change)
    if isinstance(changed, Failure):
        return changed
    live = live_guards(guards)
    comparison = Comparison(configuration, changed, live)
    sentences = list(effects(comparison)) or ['Nothing changes.']
    capacity = capacity_of(live)
    workers = quantity(capacity.workers, 'live worker')
    figures = f'{workers} with {quantity(capacity.slots, "slot")}'
    lines = (
        f'Plan against revision {base_revision}; figures from {figures}.',
        f'{_CHANGE_PREFIX}{sentence_of(change)}',
        *(f'- {sentence}' for sentence in sentences),
    )
    text = '\n'.join(lines)
    return Plan(base_revision, change, f'{text}\n')
