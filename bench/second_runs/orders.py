"""Orders of tasks by entries, and what the logs say of each ordered run."""

from __future__ import annotations

import collections
from typing import TypeAlias
import attrs

from bench.second_runs.playlog import LogLine, PlayLog

# Events of a guard that name one run.
_RUN_EVENTS = frozenset(
    (
        'run_end_proved',
        'revoked_run_ended',
        'orphan_stopped',
        'stopped_run_listed',
        'repeated_start',
        'run_revoked',
        'start_unanswered',
    ),
)
_LinesByJob: TypeAlias = dict[str, list[LogLine]]
_JOB_EVENTS = frozenset(('job_accepted', 'job_ended', 'order_ignored'))


@attrs.frozen(slots=True)
class TaskId:
    """One task of a job."""

    job: str
    step: str
    index: str


@attrs.frozen(slots=True)
class RunId:
    """One run of a task at a guard."""

    guard: str
    task: TaskId
    run: int


@attrs.frozen(slots=True)
class Order:
    """One task in an order of an entry.

    ``entry`` names the process and counts its lives: a restarted one knows
    nothing of earlier orders. ``end`` is the line with which this entry took
    the run for ended, unless that was done. An order of several tasks names
    the highest run only, so ``run`` is taken from ``end`` where there is one.
    """

    task: TaskId
    entry: str
    guard: str
    run: int
    time_s: float
    end: LogLine | None = None

    @property
    def run_id(self) -> RunId:
        """Return the run that was ordered."""
        return RunId(self.guard, self.task, self.run)


@attrs.define
class Play:
    """Orders of all tasks and the lines about their runs and jobs.

    ``job_lines`` holds the other lines about jobs by event and job, and
    ``starts`` the lines of the starts of each process.
    """

    orders: dict[TaskId, list[Order]] = attrs.field(factory=dict)
    run_lines: dict[RunId, list[LogLine]] = attrs.field(factory=dict)
    job_lines: dict[str, _LinesByJob] = attrs.field(factory=dict)
    starts: dict[str, list[LogLine]] = attrs.field(factory=dict)
    reported: tuple[str, ...] = ()

    def second_orders(self) -> int:
        """Return the number of orders of a task after its first one."""
        return sum(len(orders) - 1 for orders in self.orders.values())

    def of_job(self, event: str, job: str) -> list[LogLine]:
        """Return the lines of an event about a job."""
        return self.job_lines.get(event, {}).get(job, [])

    def accepted(self) -> _LinesByJob:
        """Return the lines with which entries accepted each job."""
        return self.job_lines.get('job_accepted', {})


class _Reader:
    """Collects the orders of a play from its lines, in their order."""

    def __init__(self) -> None:
        """Start before the first line."""
        self._lives: collections.Counter[str] = collections.Counter()
        self.play = Play()

    def read(self, line: LogLine) -> None:
        """Take the next line."""
        event = line.event
        if event in _RUN_EVENTS:
            self._read_run(line)
        elif event == 'runs_ordered':
            self._read_order(line)
        elif event == 'process_started':
            self._lives[line.process] += 1
            self.play.starts.setdefault(line.process, []).append(line)
        else:
            self._read_other(line)

    def _read_other(self, line: LogLine) -> None:
        if line.event == 'run_not_done':
            self._read_end(line)
        if line.event in _JOB_EVENTS:
            of_event = self.play.job_lines.setdefault(line.event, {})
            of_event.setdefault(line.fields['job'], []).append(line)

    def _read_run(self, line: LogLine) -> None:
        if 'task' not in line.fields:
            return
        run_id = RunId(line.process, _task_id(line), _run(line))
        self.play.run_lines.setdefault(run_id, []).append(line)

    def _read_order(self, line: LogLine) -> None:
        for index in line.fields['tasks'].split(','):
            task = attrs.evolve(_task_id(line), index=index)
            order = Order(
                task,
                self._entry(line),
                line.fields['guard'],
                _run(line),
                line.time_s,
            )
            self.play.orders.setdefault(task, []).append(order)

    def _read_end(self, line: LogLine) -> None:
        """Join an end to the newest order of its task at this entry."""
        orders = self.play.orders.get(_task_id(line), [])
        for index in reversed(range(len(orders))):
            order = orders[index]
            if order.end is None and self._is_end_of(line, order):
                orders[index] = attrs.evolve(order, end=line, run=_run(line))
                return

    def _is_end_of(self, line: LogLine, order: Order) -> bool:
        same_guard = order.guard == line.fields.get('guard')
        return same_guard and order.entry == self._entry(line)

    def _entry(self, line: LogLine) -> str:
        life = self._lives[line.process]
        return line.process if life <= 1 else f'{line.process}#{life}'


def read_orders(log: PlayLog) -> Play:
    """Return the orders of a play and what its log says of their runs."""
    reader = _Reader()
    for line in log.lines:
        reader.read(line)
    play = reader.play
    play.reported = log.reported
    for orders in play.orders.values():
        _number(orders)
    return play


def _number(orders: list[Order]) -> None:
    """Correct the runs of orders without an end at their entry.

    Each entry numbers the runs of a task in turn, and an order of several tasks
    names the highest of their runs, so a lower one may follow from the last.
    """
    last: dict[str, int] = {}
    for index, order in enumerate(orders):
        run = order.run
        if order.end is None:
            run = min(run, last.get(order.entry, 0) + 1)
            orders[index] = attrs.evolve(order, run=run)
        last[order.entry] = run


def _task_id(line: LogLine) -> TaskId:
    """Return the task of a line; releases without steps in it had one step."""
    fields = line.fields
    return TaskId(
        fields.get('job', ''), fields.get('step', '0'), fields.get('task', '')
    )


def _run(line: LogLine) -> int:
    return int(line.number('run') or 0)
