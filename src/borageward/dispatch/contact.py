"""Contact of an entry with other hosts, and whose callers may have left."""

from __future__ import annotations

import math

from borageward.clock import Clock, Milliseconds
from borageward.telemetry import EventLog

# The end of a connection that a cut has held back arrives after the cut, within
# at most the duration of the cut, because TCP doubles its pauses. After a cut
# of half the 1,300 ms in which callers repeat a job, less the time of a stop,
# the entry still learns of it in time.
_SHORTEST_SILENCE_MS = 600.0


class CallerContact:
    """Tells for which jobs an entry may order runs.

    If no guard was heard for a while, the entry may have been cut off or have
    stood still. Callers may have left meanwhile and have repeated their jobs at
    other entries, and news of that may arrive late. Until the entry has been in
    contact again for as long as the silence lasted, only jobs that have been
    submitted since it was noticeable may be ordered. Guards that are silent
    while others are heard change nothing.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Begin in contact; ``clock`` must count suspensions of the host."""
        self._clock = clock
        self._log = log
        self._heard_ms: Milliseconds = -math.inf
        # Beginning of the last silence, or of one that the entry had not been
        # in contact after for long enough.
        self._silent_since_ms: Milliseconds = -math.inf
        # Jobs of which no submission is newer than this are in doubt.
        self._doubted_ms: Milliseconds = -math.inf
        self._in_doubt_until_ms: Milliseconds = -math.inf

    def record(self, heard_ms: Milliseconds) -> None:
        """Record when the last message of any guard was received.

        Has to be called at intervals and before ``may_order``. The time before
        the first message is not a silence.
        """
        if heard_ms <= self._heard_ms:
            return
        former_ms = self._heard_ms
        self._heard_ms = heard_ms
        if math.isfinite(former_ms):
            if heard_ms - former_ms > _SHORTEST_SILENCE_MS:
                self._handle_silence(former_ms, heard_ms)

    def may_order(self, submitted_ms: Milliseconds) -> bool:
        """Return whether the caller of a job is known to be there.

        ``submitted_ms`` is when the job was submitted here the last time.
        """
        now_ms = self._clock.now_ms()
        noticeable_ms = self._heard_ms + _SHORTEST_SILENCE_MS
        if math.isfinite(self._heard_ms) and now_ms > noticeable_ms:
            return submitted_ms > noticeable_ms
        if now_ms < self._in_doubt_until_ms:
            return submitted_ms > self._doubted_ms
        return True

    def _handle_silence(
        self,
        former_ms: Milliseconds,
        heard_ms: Milliseconds,
    ) -> None:
        if former_ms >= self._in_doubt_until_ms:
            self._silent_since_ms = former_ms
        silent_ms = heard_ms - self._silent_since_ms
        self._doubted_ms = former_ms + _SHORTEST_SILENCE_MS
        self._in_doubt_until_ms = heard_ms + silent_ms
        self._log.warning('callers_in_doubt', silent_ms=round(silent_ms))
