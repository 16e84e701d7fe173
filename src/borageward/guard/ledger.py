"""Record of the tasks that started and of the attempts that must not."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

import msgspec

from borageward.clock import Clock, Milliseconds
from borageward.identity import JobId

CLAIM_RETENTION_MS = 600_000.0

_GENERATION_MS = 60_000.0


class JobRecord(msgspec.Struct, array_like=True):
    """State of one job at a guard.

    ``owner`` is the entry incarnation that last sent or settled the job, and
    ``former_owners`` holds the owners before it. ``started`` holds the indexes
    of started tasks. ``floors`` holds, by task index, the highest attempt of
    the owner that was refused, withdrawn or fenced.
    """

    owner: int = 0
    started: set[int] = msgspec.field(default_factory=set)
    floors: dict[int, int] = msgspec.field(default_factory=dict)
    former_owners: set[int] = msgspec.field(default_factory=set)

    def may_start(self, index: int, attempt: int) -> bool:
        """Return whether an attempt of the owner may still start.

        A task starts at most once, and never at a fenced attempt.
        """
        floor = self.floors.get(index, -1)
        return index not in self.started and attempt > floor

    def fence_attempt(self, index: int, attempt: int) -> None:
        """Forbid the start of this attempt of the owner and earlier ones."""
        floor = self.floors.get(index, -1)
        self.floors[index] = max(attempt, floor)

    def change_owner(self, owner: int) -> bool:
        """Set the owner and return whether it changed.

        Attempts are numbered per owner, so a change clears ``floors``.
        """
        if self.owner == owner:
            return False
        if self.owner:
            self.former_owners.add(self.owner)
        self.owner = owner  # noqa: WPS601  msgspec declares fields this way
        self.floors.clear()
        return True


class StartLedger:
    """Records of all jobs that changed within the claim retention.

    Records are stored as MessagePack bytes, grouped in generations by the time
    of their last change. A generation is dropped as a whole, so expiry costs
    nothing per record.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty ledger."""
        self._clock = clock
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(JobRecord)
        self._generations: deque[dict[JobId, bytes]] = deque(({},))
        self._opened_ms: deque[Milliseconds] = deque((clock.now_ms(),))

    def __len__(self) -> int:
        """Return the number of recorded jobs."""
        return sum(map(len, self._generations))

    def read(self, job_id: JobId) -> JobRecord:
        """Return a copy of a job's record, or an empty one without it."""
        for generation in self._generations:
            packed = generation.get(job_id)
            if packed is not None:
                return self._decoder.decode(packed)
        return JobRecord()

    def write(self, job_id: JobId, record: JobRecord) -> None:
        """Store a record and restart its retention period."""
        self.expire()
        for generation in self._generations:
            generation.pop(job_id, None)
        self._generations[0][job_id] = self._encoder.encode(record)

    def mark_started(self, job_id: JobId, index: int) -> None:
        """Record that a task has started, so that it never starts again."""
        record = self.read(job_id)
        record.started.add(index)
        self.write(job_id, record)

    def renew(self, job_id: JobId) -> None:
        """Restart the retention period of a record."""
        self.write(job_id, self.read(job_id))

    def records(self) -> Iterator[tuple[JobId, JobRecord]]:
        """Iterate over copies of all records."""
        for generation in self._generations:
            for job_id, packed in generation.items():
                yield job_id, self._decoder.decode(packed)

    def expire(self) -> None:
        """Drop records that did not change within the claim retention."""
        now_ms = self._clock.now_ms()
        if now_ms - self._opened_ms[0] >= _GENERATION_MS:
            self._generations.appendleft({})
            self._opened_ms.appendleft(now_ms)
        # The last change in a generation precedes the opening of the next
        # one, which therefore decides when the generation expires.
        while len(self._generations) > 1:
            if now_ms - self._opened_ms[-2] < CLAIM_RETENTION_MS:
                return
            self._generations.pop()
            self._opened_ms.pop()
