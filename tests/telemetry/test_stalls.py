"""Reports of a process that stood still."""

from __future__ import annotations

import pytest
import trio

from borageward.clock import SystemClock
from borageward.telemetry.stalls import StallReporter


class ShiftedClock(SystemClock):
    """Clock that can be set forward."""

    def __init__(self):
        self.shift_ms = 0

    def now_ms(self):
        return super().now_ms() + self.shift_ms


class RecordingLog:
    """Log that keeps the fields of its events."""

    def __init__(self):
        self.events = []

    def warning(self, name, **fields):
        self.events.append((name, fields))


async def play(nursery, boottime, steady):
    """Run a reporter; return its log."""
    log = RecordingLog()
    nursery.start_soon(StallReporter(boottime, steady, log).run)
    await trio.testing.wait_all_tasks_blocked()
    return log


async def test_suspension_of_the_host_is_reported(autojump_clock, nursery):
    """Guards against a suspension that no log line shows."""
    boottime = ShiftedClock()
    log = await play(nursery, boottime, SystemClock())
    boottime.shift_ms = 3000
    await trio.sleep(0.3)
    assert log.events == [
        ('process_stalled', {'stalled_ms': 3000, 'suspended_ms': 3000}),
    ]


async def test_process_that_did_not_run_is_reported(autojump_clock, nursery):
    """Guards against a freeze that is taken for a suspension."""
    clock = ShiftedClock()
    log = await play(nursery, clock, clock)
    clock.shift_ms = 1200
    await trio.sleep(0.3)
    assert log.events == [
        ('process_stalled', {'stalled_ms': 1200, 'suspended_ms': 0}),
    ]


@pytest.mark.parametrize('delay_ms', [0, 150])
async def test_usual_delays_are_not_reported(autojump_clock, nursery, delay_ms):
    """Guards against a line for each moment of a busy processor."""
    clock = ShiftedClock()
    log = await play(nursery, clock, clock)
    clock.shift_ms = delay_ms
    await trio.sleep(2)
    assert not log.events
