"""The start ledger: which tasks started, and which attempts never will."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

import msgspec

from borageward.clock import Clock, Milliseconds
from borageward.identity import JobId

CLAIM_RETENTION_MS = 600_000.0

_GENERATION_MS = 60_000.0


class JobRecord(msgspec.Struct, array_like=True):
    """What a guard knows of one job, packed to bytes between uses.

    ``owner`` is the entry incarnation that last sent or settled the job and
    ``former`` lists the owners before it. ``floors`` gives the highest attempt
    of the owner that was refused, withdrawn or fenced, by task index.
    """

    owner: int = 0
    started: set[int] = msgspec.field(default_factory=set)
    floors: dict[int, int] = msgspec.field(default_factory=dict)
    former: set[int] = msgspec.field(default_factory=set)

    def may_start(self, index: int, attempt: int) -> bool:
        """Tell whether an attempt of the owner is still allowed to start."""
        floor = self.floors.get(index, -1)
        return index not in self.started and attempt > floor

    def raise_floor(self, index: int, attempt: int) -> None:
        """Never start this attempt of the owner or an earlier one."""
        floor = self.floors.get(index, -1)
        self.floors[index] = max(attempt, floor)

    def change_owner(self, owner: int) -> bool:
        """Move the job to a new owner; attempts count anew under it."""
        if self.owner == owner:
            return False
        if self.owner:
            self.former.add(self.owner)
        self.owner = owner  # noqa: WPS601  msgspec declares fields this way
        self.floors.clear()
        return True


class StartLedger:
    """Records of all jobs seen within the claim retention.

    Records are grouped in generations by the time of their last change, and
    a generation is dropped as a whole, so expiry costs nothing per record.
    """

    def __init__(self, clock: Clock) -> None:
        """Prepare an empty ledger."""
        self._clock = clock
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(JobRecord)
        self._generations: deque[dict[JobId, bytes]] = deque(({},))
        self._opened_ms: deque[Milliseconds] = deque((clock.now_ms(),))

    def __len__(self) -> int:
        """Return the number of jobs on record."""
        return sum(map(len, self._generations))

    def read(self, job_id: JobId) -> JobRecord:
        """Return the record of a job; an empty one when it is unseen."""
        for generation in self._generations:
            packed = generation.get(job_id)
            if packed is not None:
                return self._decoder.decode(packed)
        return JobRecord()

    def write(self, job_id: JobId, record: JobRecord) -> None:
        """Keep a record for the claim retention from now on."""
        self.expire()
        for generation in self._generations:
            generation.pop(job_id, None)
        self._generations[0][job_id] = self._encoder.encode(record)

    def mark_started(self, job_id: JobId, index: int) -> None:
        """Record the one start of a task."""
        record = self.read(job_id)
        record.started.add(index)
        self.write(job_id, record)

    def renew(self, job_id: JobId) -> None:
        """Keep a record for the claim retention from now on, unchanged."""
        self.write(job_id, self.read(job_id))

    def records(self) -> Iterator[tuple[JobId, JobRecord]]:
        """Return all records."""
        for generation in self._generations:
            for job_id, packed in generation.items():
                yield job_id, self._decoder.decode(packed)

    def expire(self) -> None:
        """Drop records that did not change within the claim retention."""
        now_ms = self._clock.now_ms()
        if now_ms - self._opened_ms[0] >= _GENERATION_MS:
            self._generations.appendleft({})
            self._opened_ms.appendleft(now_ms)
        # A generation holds changes up to the opening of the one after it.
        while len(self._generations) > 1:
            if now_ms - self._opened_ms[-2] < CLAIM_RETENTION_MS:
                return
            self._generations.pop()
            self._opened_ms.pop()
