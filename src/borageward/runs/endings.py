"""What proves the ends of runs, and log lines about the ends of runs."""

from __future__ import annotations

import enum
import math

import attrs

from borageward.clock import Clock, Milliseconds
from borageward.messages.runs import RunOutcome, RunRef
from borageward.runs.endpoint import Endpoint
from borageward.runs.table import Run
from borageward.telemetry import EventLog

# Ends are kept this long, to compare them with lists that arrive later. A poll
# of the lists is given up after two seconds at most.
_KEPT_MS = 5000.0
_MAX_KEPT = 1000
# Time after the confirmation of a stop until a run has to be missing from the
# lists. A stop takes some milliseconds to be carried out.
_STOP_EFFECT_MS = 60.0
# Stands for a figure that is not known.
_UNKNOWN = '-'


class ProofKind(enum.Enum):
    """What proves that a run has ended or never started."""

    # The start was never requested, or the endpoint had no room for it.
    NOT_STARTED = 'not_started'
    START_REFUSED = 'start_refused'
    # The endpoint has listed the end.
    LISTED_END = 'listed_end'
    # Lists that were requested after the last change of the run lack it.
    MISSING = 'missing'
    LEASES_EXPIRED = 'leases_expired'
    # The incarnation of the endpoint has ended.
    INCARNATION_ENDED = 'incarnation_ended'


@attrs.frozen(slots=True)
class ListTime:
    """Time of the run lists of an endpoint.

    ``requested_ms`` is on the guard's clock, ``composed_ms`` on the clock of
    the incarnation that started at ``born_ms``. Lists that were requested
    earlier may be composed later, as the endpoint delays the reply to a poll.
    """

    requested_ms: Milliseconds
    composed_ms: Milliseconds
    born_ms: int

    def follows_stop(self, confirmed_ms: Milliseconds) -> bool:
        """Return whether a stop confirmed at a time has taken effect here."""
        return self.requested_ms - confirmed_ms > _STOP_EFFECT_MS

    def lead_ms(self, other: ListTime) -> Milliseconds | None:
        """Return by how much these lists are newer than others.

        None if they were composed by different incarnations.
        """
        if self.born_ms != other.born_ms:
            return None
        return self.composed_ms - other.composed_ms


@attrs.frozen(slots=True)
class EndProof:
    """What proves the end of a run; ``lists`` are those that prove it."""

    kind: ProofKind
    lists: ListTime | None = None


NOT_STARTED = EndProof(ProofKind.NOT_STARTED)
START_REFUSED = EndProof(ProofKind.START_REFUSED)
LEASES_EXPIRED = EndProof(ProofKind.LEASES_EXPIRED)
INCARNATION_ENDED = EndProof(ProofKind.INCARNATION_ENDED)


@attrs.frozen(slots=True)
class _RecentEnd:
    ended_ms: Milliseconds
    proof: EndProof


class RunLog:
    """Log lines of one guard about the starts and ends of single runs.

    They tell by how much the proof of an end precedes or follows the last time
    at which the run may have been at work. Runs that are done have no lines.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Start without ends."""
        self._clock = clock
        self._log = log
        self._ends: dict[RunRef, _RecentEnd] = {}

    def ended(
        self,
        run: Run,
        outcome: RunOutcome,
        detail: str,
        proof: EndProof,
        endpoint: Endpoint,
    ) -> None:
        """Report the end of a run and keep it for later lists."""
        now_ms = self._clock.now_ms()
        self._keep(run.ref, _RecentEnd(now_ms, proof))
        if outcome is RunOutcome.DONE:
            return
        self._log.event(
            'run_end_proved',
            job=run.ref.task.job_id,
            step=run.ref.task.step,
            task=run.ref.task.index,
            run=run.ref.run,
            entry=run.session,
            outcome=outcome.value,
            detail=detail,
            state=run.state.value,
            proof=proof.kind.value,
            list_age_ms=_list_age(proof.lists, now_ms),
            listed_ms=_age(run.listed_ms, now_ms),
            confirmed_ms=_age(run.confirmed_ms, now_ms),
            lease_left_ms=_rounded(endpoint.lease_balance_ms(run.lapses)),
            limit_left_ms=_rounded(run.authority.run_limit_ms - now_ms),
        )

    def start_stage(self, run: Run, stage: str) -> None:
        """Report a stage in the start of a run that repeats its task."""
        if run.ref.run == 1:
            return
        self._log.event(
            'repeated_start',
            job=run.ref.task.job_id,
            step=run.ref.task.step,
            task=run.ref.task.index,
            run=run.ref.run,
            entry=run.session,
            stage=stage,
            sent_ms=_age(run.requested_ms, self._clock.now_ms()),
        )

    def orphan(self, ref: RunRef, lists: ListTime) -> None:
        """Report a listed run that is not in the table, and its end here."""
        now_ms = self._clock.now_ms()
        end = self._ends.get(ref)
        lead_ms = None
        if end is not None and end.proof.lists is not None:
            lead_ms = lists.lead_ms(end.proof.lists)
        self._log.event(
            'orphan_stopped',
            job=ref.task.job_id,
            step=ref.task.step,
            task=ref.task.index,
            run=ref.run,
            list_age_ms=_list_age(lists, now_ms),
            ended_ms=_UNKNOWN if end is None else round(now_ms - end.ended_ms),
            proof=_UNKNOWN if end is None else end.proof.kind.value,
            lead_ms=_rounded(lead_ms),
        )

    def check_stop(self, run: Run, lists: ListTime, endpoint: Endpoint) -> None:
        """Report once a listed run that a confirmed stop should have ended."""
        if run.outlived_stop or not run.stop_confirmed:
            return
        if lists.follows_stop(run.confirmed_ms):
            run.outlived_stop = True
            self.listed_after_stop(run.ref, run.confirmed_ms, lists, endpoint)

    def listed_after_stop(
        self,
        ref: RunRef,
        confirmed_ms: Milliseconds,
        lists: ListTime,
        endpoint: Endpoint,
    ) -> None:
        """Report a listed run whose stop was confirmed at a time."""
        now_ms = self._clock.now_ms()
        self._log.warning(
            'stopped_run_listed',
            job=ref.task.job_id,
            step=ref.task.step,
            task=ref.task.index,
            run=ref.run,
            confirmed_ms=_age(confirmed_ms, now_ms),
            list_age_ms=_list_age(lists, now_ms),
            lease_left_ms=_rounded(endpoint.lease_balance_ms(math.inf)),
        )

    def _keep(self, ref: RunRef, end: _RecentEnd) -> None:
        """Keep an end, and drop those that are old or too many."""
        self._ends.pop(ref, None)
        self._ends[ref] = end
        while not self._keeps_oldest(end.ended_ms):
            self._ends.pop(next(iter(self._ends)))

    def _keeps_oldest(self, now_ms: Milliseconds) -> bool:
        oldest = next(iter(self._ends.values()))
        is_recent = now_ms - oldest.ended_ms <= _KEPT_MS
        return is_recent and len(self._ends) <= _MAX_KEPT


def log_refusal(log: EventLog, entry: str, ref: RunRef, detail: str) -> None:
    """Report that an ordered run was refused before it was in the table."""
    log.event(
        'run_end_proved',
        job=ref.task.job_id,
        step=ref.task.step,
        task=ref.task.index,
        run=ref.run,
        entry=entry,
        outcome=RunOutcome.REFUSED.value,
        detail=detail,
        state=_UNKNOWN,
        proof=ProofKind.NOT_STARTED.value,
    )


def _list_age(lists: ListTime | None, now_ms: Milliseconds) -> int | str:
    return _UNKNOWN if lists is None else round(now_ms - lists.requested_ms)


def _age(time_ms: Milliseconds, now_ms: Milliseconds) -> int | str:
    """Return the time since an event whose time is zero if it has not been."""
    return round(now_ms - time_ms) if time_ms else _UNKNOWN


def _rounded(figure_ms: Milliseconds | None) -> int | str:
    if figure_ms is None or math.isinf(figure_ms):
        return _UNKNOWN
    return round(figure_ms)
