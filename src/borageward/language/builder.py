"""Conversion of parse trees into typed sentences."""

from __future__ import annotations

import difflib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

import lark

from borageward.failures import Failure, FailureReason
from borageward.language.query import CancelJob, Query, Sentence, Subject
from borageward.messages import configuration as changes
from borageward.messages.query import JobState

_MS_PER_UNIT = MappingProxyType(
    {
        'ms': 1,
        's': 1000,
        'min': 60_000,
        'h': 3_600_000,
    }
)
_Condition: TypeAlias = tuple[str, Any]
_Subject: TypeAlias = tuple[Subject, JobState | None]
_Names: TypeAlias = tuple[str, ...]
_Area: TypeAlias = tuple[_Names, _Names]
_COMMON_CONDITIONS = frozenset(('services', 'places', 'workers'))
_JOB_CONDITIONS = _COMMON_CONDITIONS | {'kinds', 'reasons', 'older_than_ms'}
_SERVICE_CONDITIONS = frozenset(('services',))
_POLICY_CONDITIONS = frozenset(('services', 'kinds'))
_CONDITIONS: Mapping[Subject, frozenset[str]] = MappingProxyType(
    {
        Subject.JOBS: _JOB_CONDITIONS,
        Subject.WORKERS: _COMMON_CONDITIONS,
        Subject.MEMBERS: _COMMON_CONDITIONS,
        Subject.SERVICES: _SERVICE_CONDITIONS,
        Subject.POLICIES: _POLICY_CONDITIONS,
    }
)
_CONDITION_WORDS = MappingProxyType(
    {
        'services': 'of',
        'kinds': 'kind',
        'places': 'in',
        'workers': 'on',
        'reasons': 'because',
        'older_than_ms': 'older than',
    }
)


class InvalidSentence(Exception):
    """The sentence matches the grammar, but its values are not valid."""


def invalid_request(detail: str) -> Failure:
    """Return an ``INVALID_REQUEST`` failure with a detail text."""
    return Failure(FailureReason.INVALID_REQUEST, detail)


def build_sentence(tree: lark.Tree[lark.Token]) -> Sentence | Failure:
    """Return the typed sentence of a parse tree.

    Returns ``INVALID_REQUEST`` for a sentence that matches the grammar but
    whose values are not valid, such as a fraction of a slot.
    """
    try:
        return _SentenceBuilder().transform(tree)
    except lark.exceptions.VisitError as error:
        if isinstance(error.orig_exc, InvalidSentence):
            return invalid_request(str(error.orig_exc))
        raise


def _slot_count(amount: float) -> int:
    if amount != int(amount):
        raise InvalidSentence(f'{amount} slots is not a whole number')
    return int(amount)


class _TerminalBuilder(lark.Transformer[lark.Token, Any]):
    """Converts terminals to values.

    Keywords need no method: they are filtered out of the parse tree.
    """

    def NAME(self, token: lark.Token) -> str:  # noqa: N802
        return str(token)

    def JOB_ID(self, token: lark.Token) -> str:  # noqa: N802
        return str(token).lower()

    def NUMBER(self, token: lark.Token) -> float:  # noqa: N802
        return float(token)

    def UNIT(self, token: lark.Token) -> int:  # noqa: N802
        return _MS_PER_UNIT[token]

    def OTHER(self, token: lark.Token) -> str:  # noqa: N802
        return str(token)

    def STATE(self, token: lark.Token) -> JobState:  # noqa: N802
        return JobState(str(token))


@lark.v_args(inline=True)
class _QueryBuilder(_TerminalBuilder):
    """Builds queries and job cancellations."""

    def start(self, sentence: Sentence) -> Sentence:
        return sentence

    def names(self, *names: str) -> tuple[str, ...]:
        if len(set(names)) < len(names):
            listed = ', '.join(names)
            raise InvalidSentence(f'a name is given twice: {listed}')
        return names

    def duration(self, amount: float, unit_ms: int) -> float:
        return amount * unit_ms

    def jobs(self, state: JobState | None = None) -> _Subject:
        return Subject.JOBS, state

    def other(self, name: str) -> _Subject:
        return Subject(name), None

    def of_services(self, names: tuple[str, ...]) -> _Condition:
        return 'services', names

    def of_kinds(self, names: tuple[str, ...]) -> _Condition:
        return 'kinds', names

    def in_places(self, names: tuple[str, ...]) -> _Condition:
        return 'places', names

    def on_workers(self, names: tuple[str, ...]) -> _Condition:
        return 'workers', names

    def older_than(self, duration_ms: float) -> _Condition:
        return 'older_than_ms', duration_ms

    def because(self, names: tuple[str, ...]) -> _Condition:
        return 'reasons', tuple(map(_parse_reason, names))

    def query(self, subject: _Subject, *conditions: _Condition) -> Query:
        filters: dict[str, Any] = {}
        for key, value in conditions:
            _check_condition(subject[0], key, filters)
            filters[key] = value
        return Query(*subject, **filters)

    def cancel(self, job_id: str) -> CancelJob:
        return CancelJob(job_id)


@lark.v_args(inline=True)
class _SentenceBuilder(_QueryBuilder):
    """Builds all sentences, including changes of the configuration."""

    def set_quota(self, name: str, amount: float) -> changes.SetQuota:
        return changes.SetQuota(name, _slot_count(amount))

    def set_weight(self, name: str, weight: float) -> changes.SetWeight:
        return changes.SetWeight(name, weight)

    def set_deadline(self, name: str, time_ms: float) -> changes.SetDeadline:
        return changes.SetDeadline(name, int(time_ms))

    def set_limit(self, name: str, amount: float) -> changes.SetLimit:
        return changes.SetLimit(name, amount)

    def create_service(
        self,
        name: str,
        amount: float,
        weight: float,
        time_ms: float,
    ) -> changes.SetService:
        return changes.SetService(
            name, _slot_count(amount), weight, int(time_ms)
        )

    def remove_service(self, name: str) -> changes.RemoveService:
        return changes.RemoveService(name)

    def allow(
        self,
        kind: str,
        service: str,
        area: _Area,
    ) -> changes.SetPolicy:
        return changes.SetPolicy(service, kind, *area)

    def remove_policy(self, kind: str, service: str) -> changes.RemovePolicy:
        return changes.RemovePolicy(service, kind)

    def drain(self, worker: str) -> changes.SetDrained:
        return changes.SetDrained(worker, drained=True)

    def restore(self, worker: str) -> changes.SetDrained:
        return changes.SetDrained(worker, drained=False)

    def require_approval(self) -> changes.SetApproval:
        return changes.SetApproval(required=True)

    def waive_approval(self) -> changes.SetApproval:
        return changes.SetApproval(required=False)

    def anywhere(self) -> _Area:
        return (), ()

    def area_places(self, places: tuple[str, ...]) -> _Area:
        return places, ()

    def area_workers(self, workers: tuple[str, ...]) -> _Area:
        return (), workers

    def area_both(
        self,
        places: tuple[str, ...],
        workers: tuple[str, ...],
    ) -> _Area:
        return places, workers

    def changes(self, *parts: Any) -> changes.ConfigurationChange:
        return parts[0] if len(parts) == 1 else changes.Batch(parts)


def _check_condition(
    subject: Subject,
    key: str,
    filters: dict[str, Any],
) -> None:
    word = _CONDITION_WORDS[key]
    if key in filters:
        raise InvalidSentence(f'{word!r} is given twice')
    if key not in _CONDITIONS.get(subject, frozenset()):
        raise InvalidSentence(f'{word!r} does not apply to {subject.value}')


def _parse_reason(text: str) -> FailureReason:
    known = [reason.value for reason in FailureReason]
    if text in known:
        return FailureReason(text)
    similar = difflib.get_close_matches(text, known, 1)
    hint = f', did you mean {similar[0]!r}' if similar else ''
    raise InvalidSentence(f'unknown reason {text!r}{hint}')
