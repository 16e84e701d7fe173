"""Storage of the open jobs of an entry and of its recent answers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

import attrs

from borageward.clock import Clock, Milliseconds
from borageward.entry.answers import Answer
from borageward.entry.job import Job
from borageward.identity import JobId

ANSWER_RETENTION_MS = 120_000.0
MAX_ANSWERS_BYTES = 67_108_864
# Memory of one stored answer besides its body.
_ANSWER_OVERHEAD_BYTES = 512


class OpenJobs:
    """Accepted jobs that have not been answered, by id."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._jobs: dict[JobId, Job] = {}
        self._body_bytes = 0

    def __len__(self) -> int:
        """Return the number of open jobs."""
        return len(self._jobs)

    def __iter__(self) -> Iterator[Job]:
        """Iterate over a copy, so that jobs may be removed meanwhile."""
        return iter(list(self._jobs.values()))

    @property
    def body_bytes(self) -> int:
        """Return the size of the request bodies of all open jobs."""
        return self._body_bytes

    def add(self, job: Job) -> None:
        """Add a job that has been accepted."""
        self._jobs[job.job_id] = job
        self._body_bytes += len(job.request.body)

    def get(self, job_id: JobId) -> Job | None:
        """Return the open job with an id, or ``None``."""
        return self._jobs.get(job_id)

    def remove(self, job: Job) -> None:
        """Remove a job that has been answered, if it is present."""
        if self._jobs.pop(job.job_id, None) is not None:
            self._body_bytes -= len(job.request.body)


@attrs.frozen(slots=True)
class StoredAnswer:
    """Answer of a claimed job, with the digest of its request.

    ``expires_ms`` is the monotonic time at which the answer is dropped.
    """

    answer: Answer
    digest: bytes
    expires_ms: Milliseconds


class AnswerStore:
    """Stores answers for later reads and resubmissions.

    Answers are dropped after ``ANSWER_RETENTION_MS``, or earlier, the oldest
    first, when they exceed ``MAX_ANSWERS_BYTES`` together.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty store."""
        self._clock = clock
        self._answers: OrderedDict[JobId, StoredAnswer] = OrderedDict()
        self._bytes = 0

    def store(self, job_id: JobId, digest: bytes, answer: Answer) -> None:
        """Store an answer, replacing an earlier one of the same job."""
        self._drop(job_id)
        expires_ms = self._clock.now_ms() + ANSWER_RETENTION_MS
        self._answers[job_id] = StoredAnswer(answer, digest, expires_ms)
        self._bytes += _size(answer)
        self._evict()

    def find(self, job_id: JobId) -> StoredAnswer | None:
        """Return the stored answer of a job, or ``None``."""
        self._evict()
        return self._answers.get(job_id)

    def _evict(self) -> None:
        now_ms = self._clock.now_ms()
        while self._answers:
            job_id = next(iter(self._answers))
            unexpired = self._answers[job_id].expires_ms > now_ms
            if unexpired and self._bytes <= MAX_ANSWERS_BYTES:
                return
            self._drop(job_id)

    def _drop(self, job_id: JobId) -> None:
        stored = self._answers.pop(job_id, None)
        if stored is not None:
            self._bytes -= _size(stored.answer)


def _size(answer: Answer) -> int:
    return len(answer.body) + _ANSWER_OVERHEAD_BYTES
