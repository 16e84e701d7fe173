"""Plan files: what is approved and applied is exactly what was read."""

from __future__ import annotations

import pathlib

import msgspec

from borageward.failures import Failure, FailureReason
from borageward.language import Plan, parse_sentence, plan_states_change
from borageward.language.query import CancelJob, Query
from borageward.language.sentences import sentence_of
from borageward.messages.configuration import ConfigurationChange


class _PlanDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON form of a plan."""

    base_revision: int
    sentence: str
    text: str
    digest: str


def write_plan(path: pathlib.Path, plan: Plan) -> Failure | None:
    """Write a plan to a new file; an existing file is not replaced."""
    document = _PlanDocument(
        plan.base_revision,
        sentence_of(plan.change),
        plan.text,
        plan.digest.hex(),
    )
    encoded = msgspec.json.format(msgspec.json.encode(document))
    try:
        with path.open('xb') as stream:
            stream.write(encoded)
    except OSError as error:
        return _invalid(f'{path}: {error.strerror}')
    return None


def read_plan(path: pathlib.Path) -> Plan | Failure:
    """Read a plan; refuses a file whose text was edited."""
    try:
        document = msgspec.json.decode(path.read_bytes(), type=_PlanDocument)
    except OSError as error:
        return _invalid(f'{path}: {error.strerror}')
    except msgspec.DecodeError as error:
        return _invalid(f'{path}: {error}')
    change = parse_change(document.sentence)
    if isinstance(change, Failure):
        return change
    plan = Plan(document.base_revision, change, document.text)
    if plan.digest.hex() != document.digest:
        return _invalid(f'{path}: the text does not match its digest')
    if not plan_states_change(plan.text, change):
        return _invalid(f'{path}: the text states another change')
    return plan


def parse_change(sentence: str) -> ConfigurationChange | Failure:
    """Parse a sentence that must be a change."""
    parsed = parse_sentence(sentence)
    if isinstance(parsed, Query | CancelJob):
        return _invalid('not a change of the configuration; use "query"')
    return parsed


def _invalid(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_REQUEST, detail)
