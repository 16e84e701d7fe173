"""Contact of an entry with other hosts, and whose callers may have left."""

from __future__ import annotations

import math

from borageward.clock import Clock, Milliseconds
from borageward.telemetry import EventLog

# A check that comes this long after the one before shows that the entry stood
# still. Its host received meanwhile what it reads next.
_STANDSTILL_MS = 300.0
# TCP repeats the end of a connection that a cut holds back 0.2, 0.6 and 1.4 s
# after it was sent. After a cut of up to 0.6 s the entry learns of it in time,
# before callers repeat their jobs after 1,300 ms.
_SHORTEST_SILENCE_MS = 600.0
# As its pauses double, the first repetition after a cut comes within the
# duration of the cut and the first pause, which is 200 ms or a little more.
_FIRST_PAUSE_MS = 250.0


class CallerContact:
    """Tells for which jobs an entry may order runs.

    If no guard was heard for a while, the entry may have been cut off or have
    stood still. Callers may have left meanwhile and have repeated their jobs at
    other entries, and news of that may arrive late. Until the entry has been in
    contact again for a little longer than the silence lasted, only jobs that
    have been submitted since it was noticeable may be ordered. Guards that are
    silent while others are heard change nothing.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        """Begin in contact; ``clock`` must count suspensions of the host."""
        self._clock = clock
        self._log = log
        self._heard_ms: Milliseconds = -math.inf
        self._checked_ms: Milliseconds = math.inf
        # Whether the entry has stood still since then.
        self._stood_still = False
        # Beginning of the last silence, or of one that the entry had not been
        # in contact after for long enough.
        self._silent_since_ms: Milliseconds = -math.inf
        # Jobs of which no submission is newer than this are in doubt.
        self._doubted_ms: Milliseconds = -math.inf
        self._in_doubt_until_ms: Milliseconds = -math.inf

    def record(self, heard_ms: Milliseconds) -> bool:
        """Record when the last message of any guard was received.

        Return whether a silence has ended in which the entry did not stand
        still. Then runs of jobs in doubt may have outlived their callers.

        Has to be called at intervals and before ``may_order``. The time before
        the first message is not a silence.
        """
        self._check_standstill()
        if heard_ms <= self._heard_ms:
            return False
        former_ms = self._heard_ms
        stood_still = self._stood_still
        self._heard_ms = heard_ms
        self._stood_still = False
        is_first = math.isinf(former_ms)
        if is_first or heard_ms - former_ms <= _SHORTEST_SILENCE_MS:
            return False
        self._handle_silence(former_ms, heard_ms)
        return not stood_still

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

    def _check_standstill(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._checked_ms > _STANDSTILL_MS:
            self._stood_still = True
        self._checked_ms = now_ms

    def _handle_silence(
        self,
        former_ms: Milliseconds,
        heard_ms: Milliseconds,
    ) -> None:
        if former_ms >= self._in_doubt_until_ms:
            self._silent_since_ms = former_ms
        silent_ms = heard_ms - self._silent_since_ms
        self._doubted_ms = former_ms + _SHORTEST_SILENCE_MS
        self._in_doubt_until_ms = heard_ms + silent_ms + _FIRST_PAUSE_MS
        self._log.warning('callers_in_doubt', silent_ms=round(silent_ms))
