"""Requests of callers to run jobs, and the outcomes of the jobs."""

from __future__ import annotations

import enum

import attrs

from borageward.clock import Milliseconds
from borageward.messages.runs import Demand
from borageward.queues import Queue


@attrs.frozen(slots=True)
class StepSpec:
    """One step of a job: ``count`` tasks with the same requirements.

    ``estimate_ms`` is the caller's rough estimate of one task's run time.
    ``after`` lists the indexes of the steps that have to be done first. An
    empty ``required_label`` allows every endpoint. Tasks take longer on
    endpoints outside ``data_rack``. ``per_endpoint`` limits the tasks of the
    step on one endpoint; zero means no limit.
    """

    count: int
    demand: Demand
    estimate_ms: float
    after: tuple[int, ...] = ()
    required_label: str = ''
    data_rack: str = ''
    per_endpoint: int = 0


@attrs.frozen(slots=True)
class JobRequest:
    """A caller's request to run a job and return its outcome.

    ``spec`` is passed to the endpoints unchanged. ``deadline_ms`` is how long
    the caller waits, counted from its submission.
    """

    job_id: str
    spec: str
    steps: tuple[StepSpec, ...]
    queue: Queue
    deadline_ms: Milliseconds


class JobVerdict(enum.Enum):
    """Verdict on a job that has ended."""

    COMPLETED = 'completed'
    # A task failed as often as its queue allows.
    FAILED = 'failed'
    # No task of the job has run or will run.
    REFUSED = 'refused'
    # The job was stopped at its deadline, at a caller's request or because no
    # caller was left; some of its tasks may have run.
    EXPIRED = 'expired'


class CancelResult(enum.Enum):
    """What the request to cancel a job has led to."""

    # The job was in progress at this entry and has ended.
    ENDED = 'ended'
    # The entry that has the job in progress, if any, will end it.
    REPORTED = 'reported'
    # The job may be in progress at another entry that does not hear of it.
    UNKNOWN = 'unknown'


@attrs.frozen(slots=True)
class JobOutcome:
    """Verdict on a job and the reason for it.

    ``retry_after_ms`` is how long the caller of a refused job should wait
    before it submits the job again.
    """

    verdict: JobVerdict
    reason: str = ''
    retry_after_ms: Milliseconds = 0
