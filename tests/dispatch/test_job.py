"""Tests of the state of one job: steps, attempts and outcome."""

from __future__ import annotations

from borageward.dispatch.job import Job, TaskState
from borageward.dispatch.request import JobRequest, JobVerdict, StepSpec
from borageward.messages.runs import Demand, TaskKey
from borageward.queues import Queue

QUEUE = Queue('q', 'host', '/q/', 'pool', 0, 3, 1.6, 60, 1500)


def job_of(*steps):
    """Return a job with these steps that arrived at 100 ms."""
    return Job(JobRequest('job', 'spec', steps, QUEUE, 2000), 100)


def step(count=1, after=(), estimate_ms=100):
    """Return a step of ``count`` tasks."""
    return StepSpec(count, Demand(1000), estimate_ms, after)


def test_goal_counts_the_longest_chain():
    """Guards against a goal too early for steps that wait for others.

    Such steps run one after the other, so the goal depends on the longest chain
    and not on the longest step.
    """
    job = job_of(step(), step(after=(0,), estimate_ms=300), step())
    assert job.chain_ms == 400
    assert job.goal.goal_ms == 100 + 1.6 * 400 + 60


def test_later_step_waits_for_all_tasks():
    """Guards against a step started before all tasks of an earlier one end."""
    job = job_of(step(2), step(after=(0,)))
    first, second = job.waiting()
    job.place(first, 'a')
    job.complete(first)
    assert job.waiting() == [second]
    job.place(second, 'a')
    job.complete(second)
    assert [task.key.step for task in job.waiting()] == [1]


def test_job_completes_once_all_tasks_are_done():
    """Guards against an outcome before the last task is done."""
    job = job_of(step(2))
    for task in job.waiting():
        assert job.outcome is None
        job.place(task, 'a')
        job.complete(task)
    assert job.outcome.verdict is JobVerdict.COMPLETED


def test_job_fails_after_its_attempts():
    """Guards against more attempts of a task than its queue allows."""
    job = job_of(step())
    task = job.waiting()[0]
    for number in range(3):
        assert job.outcome is None
        assert job.place(task, f'guard-{number}').run == number + 1
        job.fail(task)
    assert job.outcome.verdict is JobVerdict.FAILED
    assert task.failed_on == {'guard-0', 'guard-1', 'guard-2'}


def test_retry_that_did_not_fail_uses_no_attempt():
    """Guards against a job that fails because endpoints were lost.

    The loss of a run says nothing about the task, so it uses no attempt.
    """
    job = job_of(step())
    task = job.waiting()[0]
    for _ in range(5):
        job.place(task, 'a')
        job.retry(task)
    assert job.outcome is None
    assert task.state is TaskState.WAITING


def test_outrun_task_uses_a_higher_run():
    """Guards against a resubmitted job whose runs are refused forever.

    The endpoint knows higher run numbers from the submission to another entry
    and refuses lower ones.
    """
    job = job_of(step())
    task = job.waiting()[0]
    job.place(task, 'a')
    job.retry(task, outrun=True)
    assert job.place(task, 'a').run > 2


def crash(job, *ages_ms, other_suspects=False):
    """Crash the endpoint under runs of a job's task, after these ages."""
    task = job.find(TaskKey('job', 0, 0, 0))
    for number, age_ms in enumerate(ages_ms):
        job.place(task, f'guard-{number}', 1000)
        job.crash(task, 1000 + age_ms, other_suspects=other_suspects)


def test_task_that_crashes_its_endpoints_is_given_up():
    """Guards against a task that crashes one endpoint after the other."""
    job = job_of(step())
    crash(job, 1000)
    assert job.outcome is None
    assert job.waiting()
    crash(job, 1100)
    assert job.outcome.verdict is JobVerdict.FAILED


def test_task_beside_another_suspect_is_not_blamed():
    """Guards against innocent jobs failed for a task beside them.

    Both tasks saw an earlier crash, so either may have caused this one.
    """
    job = job_of(step())
    crash(job, 1000, 1000, other_suspects=True)
    assert job.outcome is None


def test_crash_at_another_point_of_the_work_is_not_blamed():
    """Guards against long innocent tasks failed for crashes by chance."""
    job = job_of(step())
    crash(job, 1000, 3000)
    assert job.outcome is None


def test_task_is_not_started_after_three_crashes():
    """Guards against a task started without limit whatever excuses it."""
    job = job_of(step())
    crash(job, 1000, 3000, 5000, other_suspects=True)
    assert job.outcome.verdict is JobVerdict.FAILED


def test_lost_runs_are_not_crashes():
    """Guards against a job failed because its guards were cut off or frozen."""
    job = job_of(step())
    for number in range(5):
        task = job.waiting()[0]
        job.place(task, f'guard-{number}')
        job.retry(task)
    assert job.outcome is None


def test_guards_with_counts_placed_tasks_only():
    """Guards against a wrong count for the step's limit per endpoint.

    A task that is done no longer counts towards the limit of its endpoint.
    """
    job = job_of(step(3))
    one, two, _ = job.waiting()
    job.place(one, 'a')
    job.place(two, 'a')
    assert job.guards_with(0, 2) == {'a'}
    job.complete(one)
    assert job.guards_with(0, 2) == frozenset()
