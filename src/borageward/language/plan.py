"""Plans: a change in plain sentences, bound to a digest."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

import attrs

from borageward.configuration import Configuration
from borageward.failures import Failure
from borageward.language.capacity import area_of, counted, live_guards
from borageward.language.effects import Comparison, effects
from borageward.language.sentences import sentence_of
from borageward.messages.configuration import ConfigurationChange
from borageward.messages.control import ApplyChange, GuardMember

_DIGEST_BYTES = 16
_REVISION_BYTES = 8
_CHANGE_PREFIX = 'Change: '


@attrs.frozen(slots=True)
class Plan:
    """Description of a change against a base revision."""

    base_revision: int
    change: ConfigurationChange
    text: str

    @property
    def digest(self) -> bytes:
        """Return the digest of exactly this text and base revision."""
        return plan_digest(self.text, self.base_revision)


def plan_digest(text: str, base_revision: int) -> bytes:
    """Return the 16-byte digest that an approval is bound to."""
    revision = base_revision.to_bytes(_REVISION_BYTES, 'big')
    document = revision + text.encode()
    return hashlib.blake2b(document, digest_size=_DIGEST_BYTES).digest()


def plan_states_change(text: str, change: ConfigurationChange) -> bool:
    """Tell whether a plan text states exactly this change.

    The text carries the change as a sentence of the language, so that an
    approval of the text covers the change itself.
    """
    return f'{_CHANGE_PREFIX}{sentence_of(change)}' in text.splitlines()


def plan_covers(request: ApplyChange) -> bool:
    """Tell whether the digest of a request stands for its own change.

    Control asks this where an approval is required: otherwise the digest of
    one approved plan could be sent along with another change.
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
    """Return the plan of a change, or ``INVALID_CHANGE``."""
    changed = configuration.apply(change)
    if isinstance(changed, Failure):
        return changed
    live = live_guards(guards)
    compared = Comparison(configuration, changed, live)
    sentences = list(effects(compared)) or ['Nothing changes.']
    area = area_of(live)
    workers = counted(area.workers, 'live worker')
    figures = f'{workers} with {counted(area.slots, "slot")}'
    lines = (
        f'Plan against revision {base_revision}; figures from {figures}.',
        f'{_CHANGE_PREFIX}{sentence_of(change)}',
        *(f'- {sentence}' for sentence in sentences),
    )
    text = '\n'.join(lines)
    return Plan(base_revision, change, f'{text}\n')
