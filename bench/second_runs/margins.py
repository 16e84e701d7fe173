"""Time between the last work of a first run and the start of the second."""

from __future__ import annotations

import operator
import re

import attrs

from bench.second_runs.orders import Order, Play
from bench.second_runs.playlog import LogLine

# Runs whose guard reports nothing end by 1,200 ms after the newest echo of
# their entry, which starts the task again after 1,300 ms.
_AUTHORITY_MARGIN_S = 0.1
# Time that a run may take to end once its lease is over.
_STOP_MARGIN_MS = 60.0
_MS_PER_SECOND = 1000.0
_NEVER_STARTED_PROOFS = frozenset(('not_started', 'start_refused'))
_NEVER_STARTED_OUTCOMES = frozenset(('refused', 'outrun'))
_WITHDRAWN = 'withdrawn before its start'
_SILENT_GUARD = 'lease of the guard expired'
_UNLISTED = 'run is unknown to the guard'
_ADDRESS = re.compile(r'\d+\.\d+\.\d+\.\d+:\d+')

# What dates the last work of a run or the start of the next one.
GUARD = 'guard'
BOUND = 'bound'
ORDER = 'order'
NEVER_STARTED = 'never started'
UNKNOWN = 'unknown'


@attrs.frozen(slots=True)
class Moment:
    """A time, what it rests on, and its source in words.

    ``time_s`` is None if the run never started or the logs do not bound it.
    """

    time_s: float | None
    basis: str
    source: str


@attrs.frozen(slots=True)
class SecondRun:
    """A task that was ordered again, with the earlier run that ended last.

    ``overlaps`` says that lists show the first run at work after the start of
    the second one.
    """

    first: Order
    second: Order
    reason: str
    last_work: Moment
    second_start: Moment
    overlaps: bool = False

    @property
    def same_entry(self) -> bool:
        """Return whether one life of one entry has ordered both."""
        return self.first.entry == self.second.entry

    @property
    def margin_ms(self) -> float | None:
        """Return the time between the runs; the rule is broken below zero.

        None if one of them never started or is not dated.
        """
        last_s = self.last_work.time_s
        start_s = self.second_start.time_s
        if last_s is None or start_s is None:
            return None
        return (start_s - last_s) * _MS_PER_SECOND

    @property
    def is_reported(self) -> bool:
        """Return whether the entry acted on an end that the guard reported.

        The order follows the report then, so the margin is that of a message
        and small. Otherwise the entry acted by time or on its session.
        """
        end = self.first.end
        if not self.same_entry or end is None:
            return False
        return end.fields.get('detail') not in {_SILENT_GUARD, _UNLISTED}

    @property
    def basis(self) -> str:
        """Return what the margin rests on, or why there is none."""
        for moment in (self.last_work, self.second_start):
            if moment.time_s is None:
                return moment.basis
        return self.last_work.basis


def second_runs(play: Play) -> list[SecondRun]:
    """Return one entry for each order of a task after its first one."""
    found = [
        _second_run(play, orders[:index], orders[index])
        for orders in play.orders.values()
        for index in range(1, len(orders))
    ]
    found.sort(key=_by_order)
    return found


def _by_order(found: SecondRun) -> float:
    return found.second.time_s


def _second_run(play: Play, earlier: list[Order], second: Order) -> SecondRun:
    """Compare an order with the earlier run that may have worked longest."""
    moments = [(_last_work(play, order, second), order) for order in earlier]
    last_work, first = max(moments, key=_by_last_work)
    start = _second_start(play, second)
    listed_s = [_listed_s(play, order, second) for order in earlier]
    return SecondRun(
        first,
        second,
        _reason(first, second),
        last_work,
        start,
        start.time_s is not None and max(listed_s) > start.time_s,
    )


def _by_last_work(moment: tuple[Moment, Order]) -> tuple[bool, float, float]:
    """Order runs without a bound before dated ones, then by their time."""
    last, order = moment
    is_unbound = last.basis == UNKNOWN
    time_s = float('-inf') if last.time_s is None else last.time_s
    return (is_unbound, time_s, order.time_s)


def _reason(first: Order, second: Order) -> str:
    if first.entry != second.entry:
        return 'ordered by another entry'
    if first.end is None:
        return 'no end at the entry'
    fields = first.end.fields
    detail = _ADDRESS.sub('ADDRESS', fields.get('detail', ''))
    return '{0}: {1}'.format(fields.get('outcome', ''), detail)


def _last_work(play: Play, order: Order, second: Order) -> Moment:
    """Return the last time at which an ordered run may have worked."""
    lines = _guard_lines(play, order, second)
    alive = [line for line in lines if _shows_work(line)]
    ends = [line for line in lines if _is_end(line)]
    if alive and (not ends or alive[-1].time_s > ends[-1].time_s):
        return Moment(alive[-1].time_s, GUARD, alive[-1].event)
    if not ends:
        return _bound(play, order, lines)
    end = _logged_end(ends)
    is_dated = any(line.event == 'run_end_proved' for line in ends)
    if end.time_s is None or is_dated:
        return end
    return _earlier(end, _bound(play, order, lines))


def _earlier(end: Moment, bound: Moment) -> Moment:
    """Return the earlier one of a logged end and a bound, if there is one.

    Releases that do not log the leases write the end of a run late, if its
    guard was frozen.
    """
    if end.time_s is None or bound.time_s is None:
        return end
    return min(end, bound, key=operator.attrgetter('time_s'))


def _guard_lines(play: Play, order: Order, second: Order) -> list[LogLine]:
    """Return the lines about a run at its guard.

    Both entries of a repeated job number its runs from 1, so at one guard the
    lines after the second order are those of the second run.
    """
    return [
        line
        for line in play.run_lines.get(order.run_id, [])
        if line.time_s >= order.time_s
        and (order.run_id != second.run_id or line.time_s < second.time_s)
    ]


def _shows_work(line: LogLine) -> bool:
    """Return whether a line shows that a run works after its end or stop.

    Lists that are older than those that proved the end show nothing, and
    earlier releases did not tell them apart.
    """
    if line.event == 'stopped_run_listed':
        return True
    if line.event != 'orphan_stopped':
        return False
    lead_ms = line.number('lead_ms')
    has_no_end = line.fields.get('ended_ms') == '-'
    return has_no_end or (lead_ms is not None and lead_ms > 0)


def _is_end(line: LogLine) -> bool:
    return line.event in {'run_end_proved', 'revoked_run_ended'}


def _listed_s(play: Play, order: Order, second: Order) -> float:
    """Return the last time at which a run was at work for sure."""
    times = [float('-inf')]
    for line in _guard_lines(play, order, second):
        listed_ms = line.number('listed_ms')
        if _shows_work(line):
            listed_ms = line.number('list_age_ms')
        if listed_ms is not None:
            times.append(line.time_s - listed_ms / _MS_PER_SECOND)
    return max(times)


def _logged_end(ends: list[LogLine]) -> Moment:
    """Return the last work before an end that the guard has logged.

    It is the end of the leases, if these were over when the end was noticed.
    """
    proofs = [line for line in ends if line.event == 'run_end_proved']
    end = proofs[-1] if proofs else ends[-1]
    proof = end.fields.get('proof', end.fields.get('detail', ''))
    if proof in _NEVER_STARTED_PROOFS or proof == _WITHDRAWN:
        return Moment(None, NEVER_STARTED, proof)
    left_ms = end.number('lease_left_ms')
    if left_ms is None:
        return Moment(end.time_s, GUARD, proof)
    late_ms = min(0, left_ms + _STOP_MARGIN_MS)
    return Moment(end.time_s + late_ms / _MS_PER_SECOND, GUARD, proof)


def _bound(play: Play, order: Order, lines: list[LogLine]) -> Moment:
    """Bound the last work of a run whose end its guard has not logged."""
    if order.end is None:
        return _bound_by_job(play, order, lines)
    fields = order.end.fields
    detail = fields.get('detail', '')
    if fields.get('outcome') in _NEVER_STARTED_OUTCOMES:
        return Moment(None, NEVER_STARTED, 'refused')
    if not lines and _was_ignored(play, order):
        return Moment(None, NEVER_STARTED, 'order ignored')
    if detail == _SILENT_GUARD:
        time_s = order.end.time_s - _AUTHORITY_MARGIN_S
        return Moment(time_s, BOUND, 'authority of the guard')
    source = 'report of the guard'
    if detail == _UNLISTED:
        source = 'session without the run'
        if _has_restarted(play, order):
            source = 'session of a restarted guard'
    return Moment(order.end.time_s, BOUND, source)


def _bound_by_job(play: Play, order: Order, lines: list[LogLine]) -> Moment:
    """Bound a run by the end of its job at the entry that ordered it.

    A run that is still at work then is revoked, and its end is logged. Without
    such lines it was done before.
    """
    process = order.entry.partition('#')[0]
    ends = [
        line
        for line in play.of_job('job_ended', order.task.job)
        if line.process == process and line.time_s >= order.time_s
    ]
    if ends and not lines:
        return Moment(ends[0].time_s, BOUND, 'end of the job')
    return Moment(None, UNKNOWN, 'no line')


def _was_ignored(play: Play, order: Order) -> bool:
    return any(
        line.process == order.guard and line.time_s >= order.time_s
        for line in play.of_job('order_ignored', order.task.job)
    )


def _has_restarted(play: Play, order: Order) -> bool:
    """Return whether the guard started between an order and its end."""
    end = order.end
    return end is not None and any(
        order.time_s < line.time_s <= end.time_s
        for line in play.starts.get(order.guard, [])
    )


def _second_start(play: Play, order: Order) -> Moment:
    """Return the earliest time at which a repeated run may have started."""
    lines = [
        line
        for line in play.run_lines.get(order.run_id, [])
        if line.time_s >= order.time_s
    ]
    ends = [line for line in lines if _is_end(line)]
    end = _logged_end(ends) if ends else _bound(play, order, lines)
    if end.basis == NEVER_STARTED:
        return Moment(None, NEVER_STARTED, f'second run: {end.source}')
    for line in lines:
        if line.event == 'repeated_start':
            return Moment(line.time_s, GUARD, line.fields.get('stage', ''))
    return Moment(order.time_s, ORDER, 'order')
