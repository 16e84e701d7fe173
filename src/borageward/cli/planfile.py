"""Plan files, written by "plan" and "undo", read by "approve" and "apply".

A digest in the file ensures that the plan which is approved and applied is
the one that the operator has read.
"""

from __future__ import annotations

import pathlib

import msgspec

from borageward.failures import Failure, FailureReason
from borageward.language import Plan, parse_sentence, plan_states_change
from borageward.language.query import CancelJob, Query
from borageward.language.sentences import sentence_of
from borageward.messages.configuration import ConfigurationChange


class _PlanDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of a plan file."""

    base_revision: int
    sentence: str
    text: str
    digest: str


def write_plan(path: pathlib.Path, plan: Plan) -> Failure | None:
    """Write a plan to a new file.

    Returns ``INVALID_REQUEST`` if the file exists or cannot be written.
    """
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
        return _invalid_request(f'{path}: {error.strerror}')
    return None


def read_plan(path: pathlib.Path) -> Plan | Failure:
    """Return the plan in a file.

    Returns ``INVALID_REQUEST`` if the file cannot be read, if its text was
    edited, or if the text describes another change than the sentence.
    """
    try:
        document = msgspec.json.decode(path.read_bytes(), type=_PlanDocument)
    except OSError as error:
        return _invalid_request(f'{path}: {error.strerror}')
    except msgspec.DecodeError as error:
        return _invalid_request(f'{path}: {error}')
    change = parse_change(document.sentence)
    if isinstance(change, Failure):
        return change
    plan = Plan(document.base_revision, change, document.text)
    if plan.digest.hex() != document.digest:
        return _invalid_request(f'{path}: plan text does not match its digest')
    if not plan_states_change(plan.text, change):
        return _invalid_request(
            f'{path}: plan text does not describe the change',
        )
    return plan


def parse_change(sentence: str) -> ConfigurationChange | Failure:
    """Return the configuration change that a sentence describes.

    Returns ``INVALID_REQUEST`` for a query or a cancellation, and the failure
    of the parser for any other text.
    """
    parsed = parse_sentence(sentence)
    if isinstance(parsed, Query | CancelJob):
        return _invalid_request(
            'this is not a configuration change; use "query"'
        )
    return parsed


def _invalid_request(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_REQUEST, detail)
