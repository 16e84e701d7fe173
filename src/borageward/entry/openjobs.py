"""The jobs that an entry holds open, and the answers it has given."""

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
# Cost of one kept answer besides its body.
_ANSWER_OVERHEAD_BYTES = 512


class OpenJobs:
    """Jobs without an answer, by id."""

    def __init__(self) -> None:
        """Prepare an empty collection."""
        self._jobs: dict[JobId, Job] = {}
        self._body_bytes = 0

    def __len__(self) -> int:
        """Return the number of open jobs."""
        return len(self._jobs)

    def __iter__(self) -> Iterator[Job]:
        """Iterate over a copy of the open jobs."""
        return iter(list(self._jobs.values()))

    @property
    def body_bytes(self) -> int:
        """Return the bytes of all request bodies held."""
        return self._body_bytes

    def add(self, job: Job) -> None:
        """Hold a job open."""
        self._jobs[job.job_id] = job
        self._body_bytes += len(job.request.body)

    def get(self, job_id: JobId) -> Job | None:
        """Return an open job."""
        return self._jobs.get(job_id)

    def remove(self, job: Job) -> None:
        """Drop a job that has been answered."""
        if self._jobs.pop(job.job_id, None) is not None:
            self._body_bytes -= len(job.request.body)


@attrs.frozen(slots=True)
class StoredAnswer:
    """Answer of a job that control knows as claimed."""

    answer: Answer
    digest: bytes
    expires_ms: Milliseconds


class AnswerStore:
    """Answers for later reads and resubmissions, bounded in time and bytes.

    The oldest answer is dropped first.
    """

    def __init__(self, clock: Clock) -> None:
        """Prepare an empty store."""
        self._clock = clock
        self._answers: OrderedDict[JobId, StoredAnswer] = OrderedDict()
        self._bytes = 0

    def add(self, job_id: JobId, digest: bytes, answer: Answer) -> None:
        """Keep an answer."""
        self._drop(job_id)
        expires_ms = self._clock.now_ms() + ANSWER_RETENTION_MS
        self._answers[job_id] = StoredAnswer(answer, digest, expires_ms)
        self._bytes += _size(answer)
        self._evict()

    def find(self, job_id: JobId) -> StoredAnswer | None:
        """Return a kept answer."""
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
