"""One job in progress: its tasks, their runs and its end."""

from __future__ import annotations

import collections
import enum

import attrs
import trio

from borageward.clock import Milliseconds
from borageward.dispatch.endingruns import EndingRuns
from borageward.dispatch.request import JobOutcome, JobRequest, JobVerdict
from borageward.messages.runs import RunRef, TaskKey
from borageward.policy.crash_blame import is_to_blame
from borageward.policy.run_order import RunGoal, job_goal_ms

# An endpoint refuses a run of a task when it knows a higher run number. A job
# that was submitted to another entry before may have had up to this many runs
# of a task there, so the run number is raised beyond them.
_OUTRUN_RUN_INCREMENT = 16
# The runs that one crash has ended are reported within this time.
_REPORT_SPREAD_MS = 100.0


class TaskState(enum.Enum):
    """State of a task.

    A task is blocked until the earlier steps are done, waits for an endpoint,
    and is placed once a run of it is ordered.
    """

    BLOCKED = 'blocked'
    WAITING = 'waiting'
    PLACED = 'placed'
    DONE = 'done'


@attrs.define(slots=True, eq=False)
class JobTask:
    """One task of a job.

    ``run`` is the number of its newest run and ``guard`` the guard where that
    run was ordered, at ``placed_ms``. ``failed_on`` names the guards whose
    endpoints failed it. ``crash_ages_ms`` holds, for each endpoint that crashed
    under a run of the task, the time from the order to the report of the crash;
    ``crashed_ms`` is the time of the last report.
    """

    key: TaskKey
    state: TaskState = TaskState.BLOCKED
    run: int = 0
    failures: int = 0
    guard: str = ''
    placed_ms: Milliseconds = 0
    failed_on: set[str] = attrs.field(factory=set)
    crash_ages_ms: list[Milliseconds] = attrs.field(factory=list)
    crashed_ms: Milliseconds = 0

    @property
    def is_suspect(self) -> bool:
        """Return whether an endpoint has crashed under a run of the task."""
        return bool(self.crash_ages_ms)

    def was_suspect_at(self, guard: str, now_ms: Milliseconds) -> bool:
        """Return whether the task was a suspect when an endpoint crashed.

        The crash is reported for each run separately, so the task may have
        been told of it already.
        """
        if self.guard != guard:
            return False
        if self.state is TaskState.PLACED:
            return self.is_suspect
        is_same_crash = now_ms - self.crashed_ms < _REPORT_SPREAD_MS
        return is_same_crash and len(self.crash_ages_ms) > 1

    @property
    def ref(self) -> RunRef:
        """Return the reference of the newest run."""
        return RunRef(self.key, self.run)


class Job:
    """A job in progress at an entry."""

    def __init__(self, request: JobRequest, now_ms: Milliseconds) -> None:
        """Accept a job that arrived at ``now_ms``.

        Tasks of steps without predecessors may be placed at once.
        """
        self._request = request
        self._chain_ms = _longest_chain_ms(request)
        self._goal = RunGoal(
            now_ms,
            now_ms
            + job_goal_ms(
                request.queue.stretch,
                request.queue.target_latency_ms,
                self._chain_ms,
            ),
            now_ms + request.deadline_ms,
            request.queue.priority,
        )
        self._tasks = [
            [
                JobTask(TaskKey(request.job_id, 0, number, index))
                for index in range(step.count)
            ]
            for number, step in enumerate(request.steps)
        ]
        self._outcome: JobOutcome | None = None
        self._ended = trio.Event()
        # Whether a run was ever ordered, so that the job may have run.
        self.ordered = False
        # Number of times that callers have submitted the job at this entry.
        self.submissions = 0
        # When a caller has submitted the job at this entry the last time.
        self.submitted_ms = now_ms
        self._release_steps()

    @property
    def request(self) -> JobRequest:
        """Return the request of the caller."""
        return self._request

    @property
    def goal(self) -> RunGoal:
        """Return the times at which the job arrived and should end."""
        return self._goal

    @property
    def chain_ms(self) -> float:
        """Return the estimated run time of the longest chain of tasks."""
        return self._chain_ms

    @property
    def outcome(self) -> JobOutcome | None:
        """Return the outcome, or None while the job is in progress."""
        return self._outcome

    def waiting(self) -> list[JobTask]:
        """Return the tasks that may be placed."""
        return [
            task
            for task in self._all_tasks()
            if task.state is TaskState.WAITING
        ]

    def placed(self) -> list[JobTask]:
        """Return the tasks that may be running."""
        return [
            task for task in self._all_tasks() if task.state is TaskState.PLACED
        ]

    def suspects_at(self, guard: str, now_ms: Milliseconds) -> int:
        """Return the number of suspects at a guard whose endpoint crashed."""
        return sum(
            task.was_suspect_at(guard, now_ms) for task in self._all_tasks()
        )

    def guards(self) -> str:
        """Return the guard of each task's newest run, as text for logs."""
        return ','.join(task.guard or '-' for task in self._all_tasks())

    def find(self, key: TaskKey) -> JobTask | None:
        """Return a task, or None if the job has no such task."""
        if key.step < len(self._tasks):
            step = self._tasks[key.step]
            if key.index < len(step):
                return step[key.index]
        return None

    def continue_from(self, ending: EndingRuns) -> None:
        """Number runs after those that an earlier submission has left."""
        for task in self._all_tasks():
            task.run = ending.last_run(task.key)
            self.ordered = self.ordered or task.run > 0

    def place(
        self,
        task: JobTask,
        guard: str,
        now_ms: Milliseconds = 0,
    ) -> RunRef:
        """Begin a new run of a task at a guard and return its reference."""
        task.run += 1
        task.placed_ms = now_ms
        task.state = TaskState.PLACED
        task.guard = guard
        self.ordered = True
        return task.ref

    def guards_with(self, step: int, count: int) -> frozenset[str]:
        """Return the guards with at least ``count`` placed tasks of a step."""
        placed = collections.Counter(
            task.guard
            for task in self._tasks[step]
            if task.state is TaskState.PLACED
        )
        return frozenset(
            guard for guard, tasks in placed.items() if tasks >= count
        )

    def complete(self, task: JobTask) -> None:
        """Mark a task as done; the job completes with its last task."""
        task.state = TaskState.DONE
        self._release_steps()
        if all(item.state is TaskState.DONE for item in self._all_tasks()):
            self.end(JobOutcome(JobVerdict.COMPLETED))

    def fail(self, task: JobTask) -> None:
        """Count a failed run of a task and let the task wait again.

        The job fails when the task has used up the attempts of its queue.
        """
        task.failures += 1
        task.failed_on.add(task.guard)
        task.state = TaskState.WAITING
        if task.failures >= self._request.queue.max_attempts:
            self.end(JobOutcome(JobVerdict.FAILED, 'attempts used up'))

    def crash(
        self,
        task: JobTask,
        now_ms: Milliseconds,
        *,
        other_suspects: bool = False,
    ) -> None:
        """Count a crash of the endpoint under a run and let the task wait.

        The job fails when the task is to blame for its crashes.
        ``other_suspects`` says that another suspect ran at that endpoint.
        """
        task.crash_ages_ms.append(now_ms - task.placed_ms)
        task.crashed_ms = now_ms
        task.state = TaskState.WAITING
        if is_to_blame(task.crash_ages_ms, other_suspects=other_suspects):
            self.end(JobOutcome(JobVerdict.FAILED, 'task crashes endpoints'))

    def retry(self, task: JobTask, *, outrun: bool = False) -> None:
        """Let a task wait again without counting a failed attempt.

        ``outrun`` says that the endpoint refused the run because it knows a
        higher run of the task.
        """
        if outrun:
            task.run += _OUTRUN_RUN_INCREMENT
        task.state = TaskState.WAITING

    def end(self, outcome: JobOutcome) -> None:
        """End the job; ignored if it has an outcome already."""
        if self._outcome is None:
            self._outcome = outcome
            self._ended.set()

    async def wait(self) -> JobOutcome:
        """Wait for the end of the job and return its outcome."""
        await self._ended.wait()
        assert self._outcome is not None  # noqa: S101 Set before the event.
        return self._outcome

    def _all_tasks(self) -> list[JobTask]:
        return [task for step in self._tasks for task in step]

    def _release_steps(self) -> None:
        for number, step in enumerate(self._request.steps):
            if all(self._is_step_done(earlier) for earlier in step.after):
                _release_tasks(self._tasks[number])

    def _is_step_done(self, step: int) -> bool:
        return all(task.state is TaskState.DONE for task in self._tasks[step])


def _release_tasks(tasks: list[JobTask]) -> None:
    for task in tasks:
        if task.state is TaskState.BLOCKED:
            task.state = TaskState.WAITING


def _longest_chain_ms(request: JobRequest) -> float:
    chains: list[float] = []
    for step in request.steps:
        before = max((chains[number] for number in step.after), default=0)
        chains.append(before + step.estimate_ms)
    return max(chains, default=0)
