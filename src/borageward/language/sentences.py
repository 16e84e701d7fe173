"""Conversion of configuration changes into sentences of the language."""

from __future__ import annotations

import functools

from borageward.messages import configuration as changes


@functools.singledispatch
def sentence_of(change: changes.ConfigurationChange) -> str:
    """Return the sentence that the parser converts into an equal change.

    Raises ``TypeError`` for a type of change that the language lacks.
    """
    raise TypeError(f'no sentence for changes of type {type(change).__name__}')


@sentence_of.register
def _batch(change: changes.Batch) -> str:
    return ' and '.join(sentence_of(part) for part in change.changes)


@sentence_of.register
def _set_service(change: changes.SetService) -> str:
    quota = f'quota {change.quota_slots} slots'
    weight = f'weight {number_text(change.weight)}'
    deadline = f'deadline {change.deadline_ms} ms'
    values = f'{quota}, {weight}, {deadline}'
    return f'create service {change.name} with {values}'


@sentence_of.register
def _set_quota(change: changes.SetQuota) -> str:
    return f'set quota of {change.name} to {change.quota_slots} slots'


@sentence_of.register
def _set_weight(change: changes.SetWeight) -> str:
    return f'set weight of {change.name} to {number_text(change.weight)}'


@sentence_of.register
def _set_deadline(change: changes.SetDeadline) -> str:
    return f'set deadline of {change.name} to {change.deadline_ms} ms'


@sentence_of.register
def _set_drained(change: changes.SetDrained) -> str:
    verb = 'drain' if change.drained else 'restore'
    return f'{verb} worker {change.worker}'


@sentence_of.register
def _remove_service(change: changes.RemoveService) -> str:
    return f'remove service {change.name}'


@sentence_of.register
def _set_policy(change: changes.SetPolicy) -> str:
    area = area_text(change.places, change.workers)
    return f'allow {change.kind} of {change.service} {area}'


@sentence_of.register
def _remove_policy(change: changes.RemovePolicy) -> str:
    return f'remove policy for {change.kind} of {change.service}'


@sentence_of.register
def _set_limit(change: changes.SetLimit) -> str:
    return f'set limit {change.name} to {number_text(change.amount)}'


@sentence_of.register
def _set_approval(change: changes.SetApproval) -> str:
    return 'require approval' if change.required else 'waive approval'


def area_text(places: tuple[str, ...], workers: tuple[str, ...]) -> str:
    """Return the phrase of the language for where work may run."""
    parts: list[str] = []
    if places:
        parts.extend(('in', ', '.join(places)))
    if workers:
        parts.extend(('on', ', '.join(workers)))
    return ' '.join(parts) or 'anywhere'


def number_text(amount: float) -> str:
    """Return a number with at most six decimals and no trailing zeros.

    The grammar accepts no exponent, so none is used for large numbers.
    """
    text = f'{amount:.6f}'.rstrip('0')
    return text.rstrip('.')
