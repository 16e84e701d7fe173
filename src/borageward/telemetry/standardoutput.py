"""Non-blocking log output to standard output, with bounded memory.

Lines are queued in memory and written in batches. When the reader is slow, or
when the process exceeds the rate limit for lines at level ``info``, lines are
dropped and an event ``log_dropped`` reports their number. Lines at level
``info`` are dropped first, as warnings and errors may fill more of the queue.
"""

from __future__ import annotations

import os
from collections import deque

import trio

from borageward.clock import Clock, Milliseconds
from borageward.telemetry.line import format_line

_FLUSH_INTERVAL_MS = 100.0
# Once this many bytes are queued, lines at level ``info`` are dropped.
_MAX_QUEUED_BYTES_FOR_INFO = 131_072
# Once this many bytes are queued, all lines are dropped.
_MAX_QUEUED_BYTES = 524_288
# Limit of a write, in whole lines if they are shorter: a pipe takes up to this
# many bytes at once (PIPE_BUF), and readers exist that cut writes over 8 KB.
_MAX_WRITE_BYTES = 4096
# Token bucket for lines at level ``info``: average rate and burst size.
_INFO_LINES_PER_MS = 0.6
_MAX_INFO_BURST_LINES = 1200.0
_STANDARD_OUTPUT_DESCRIPTOR = 1
_INFO_FIELD = ' level=info '


class StandardOutput:
    """Text stream that queues lines of the event log and never blocks."""

    def __init__(
        self, clock: Clock, descriptor: int = _STANDARD_OUTPUT_DESCRIPTOR
    ) -> None:
        """Write to a file descriptor, which is made non-blocking."""
        self._clock = clock
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._pending = b''
        self._queued_bytes = 0
        self._info_tokens = _MAX_INFO_BURST_LINES
        self._refilled_ms: Milliseconds = clock.now_ms()
        self._dropped = 0
        self._queued = trio.Event()
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Return the number of dropped lines not yet reported in the log."""
        return self._dropped

    def write(self, line: str) -> int:
        """Queue a line, or drop it if a limit is exceeded.

        Returns the length of the line in either case.
        """
        encoded = line.encode()
        if self._accepts(line):
            self._lines.append(encoded)
            self._queued_bytes += len(encoded)
        else:
            self._dropped += 1
        self._queued.set()
        return len(line)

    async def run(self) -> None:
        """Write queued lines in batches until cancelled.

        Without lines the process is not woken.
        """
        while True:
            await self._queued.wait()
            await self._clock.sleep_ms(_FLUSH_INTERVAL_MS)
            self._queued = trio.Event()
            self.flush()
            if self._pending:
                self._queued.set()

    def flush(self) -> None:
        """Write as many queued lines as possible without blocking."""
        self._report_dropped()
        while self._pending or self._lines:
            if not self._pending:
                self._pending = self._take_batch()
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            self._pending = self._pending[written:]
            self._queued_bytes -= written

    def _take_batch(self) -> bytes:
        """Remove the lines of the next write from the queue and join them."""
        batch = b''
        while self._lines:
            length = len(batch) + len(self._lines[0])
            if batch and length > _MAX_WRITE_BYTES:
                break
            batch += self._lines.popleft()
        return batch

    def _accepts(self, line: str) -> bool:
        if _INFO_FIELD not in line:
            return self._queued_bytes < _MAX_QUEUED_BYTES
        now_ms = self._clock.now_ms()
        refill = (now_ms - self._refilled_ms) * _INFO_LINES_PER_MS
        self._refilled_ms = now_ms
        self._info_tokens = min(
            _MAX_INFO_BURST_LINES, self._info_tokens + refill
        )
        if (
            self._info_tokens < 1
            or self._queued_bytes >= _MAX_QUEUED_BYTES_FOR_INFO
        ):
            return False
        self._info_tokens -= 1
        return True

    def _report_dropped(self) -> None:
        if not self._dropped or self._queued_bytes >= _MAX_QUEUED_BYTES:
            return
        fields = {
            'level': 'warning',
            'event': 'log_dropped',
            'lines': self._dropped,
        }
        self._dropped = 0
        text = format_line(fields)
        encoded = f'{text}\n'.encode()
        self._lines.append(encoded)
        self._queued_bytes += len(encoded)
