"""Tests of non-blocking log output with limits, and of event metrics."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest
import trio

from borageward.clock import SystemClock
from borageward.telemetry.eventmetrics import EventMetrics
from borageward.telemetry.standardoutput import StandardOutput


@pytest.fixture
def pipe():
    """Yield the read end and the write end of a pipe, then close them."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def drain(output, reader):
    """Flush and read alternately; return the bytes read."""
    received = b''
    for _ in range(20):
        output.flush()
        try:
            received += os.read(reader, 65_536)
        except BlockingIOError:
            break
    return received


def line(number, level='info'):
    """Return a log line of about 90 bytes."""
    padding = 'x' * 50
    return f't=1 level={level} event=e number={number} {padding}\n'


async def test_slow_reader_never_blocks(pipe, autojump_clock):
    """Guards against a process blocked by its own log output.

    Nobody reads the pipe, so it fills up; lines must be dropped then, as a
    blocking write would stop the event loop.
    """
    output = StandardOutput(SystemClock(), pipe[1])
    for number in range(20_000):
        output.write(line(number, 'warning'))
        output.flush()
    assert output.dropped


async def test_writes_are_short_and_of_whole_lines(
    pipe, autojump_clock, monkeypatch
):
    """Guards against lines that a reader cuts off at the end of a write.

    The bench keeps 8,192 bytes of a write; the rest was missing from its logs.
    """
    output = StandardOutput(SystemClock(), pipe[1])
    lengths = []
    write = os.write

    def record(descriptor, text):
        assert text.endswith(b'\n')
        lengths.append(len(text))
        return write(descriptor, text)

    for number in range(200):
        output.write(line(number))
    output.write(line(0) * 100)
    output.write(line(200))
    monkeypatch.setattr(os, 'write', record)
    received = drain(output, pipe[0])
    assert received.count(b'\n') == 301
    assert sorted(lengths)[-2] <= 4096
    assert len(lengths) < 12


async def test_warnings_outlast_info_lines(pipe, autojump_clock):
    """Guards against warnings lost among lines at level ``info``.

    Many lines at level ``info`` exceed their limit; a warning that follows
    must still be queued.
    """
    output = StandardOutput(SystemClock(), pipe[1])
    for number in range(5000):
        output.write(line(number))
    dropped = output.dropped
    assert dropped
    output.write(line(0, 'warning'))
    assert output.dropped == dropped


async def test_dropped_lines_are_reported(pipe, autojump_clock):
    """Guards against unnoticed gaps in the log.

    After lines were dropped, the log must contain an event with their number.
    """
    output = StandardOutput(SystemClock(), pipe[1])
    for number in range(3000):
        output.write(line(number))
    dropped = output.dropped
    written = drain(output, pipe[0])
    assert f'event=log_dropped lines={dropped}'.encode() in written


async def test_rate_recovers_with_time(pipe, autojump_clock):
    """Guards against a rate limit that does not recover.

    A burst uses up the limit for lines at level ``info``; two seconds later,
    such lines must be accepted again.
    """
    output = StandardOutput(SystemClock(), pipe[1])
    for number in range(3000):
        output.write(line(number))
    drain(output, pipe[0])
    await trio.sleep(2)
    drain(output, pipe[0])
    before = output.dropped
    output.write(line(0))
    assert output.dropped == before


def test_events_are_counted_by_result():
    """Guards against event metrics that miss events or mix their results.

    Each event must be counted under its own result, and its latency must be
    observed whatever the result.
    """
    metrics = EventMetrics()
    for verdict in ('completed', 'completed', 'refused'):
        metrics.observe('job_ended', {'verdict': verdict, 'took_ms': 30})
    text = metrics.text().decode()
    name = 'borageward_events_total{event="job_ended",result="completed"}'
    assert f'{name} 2.0' in text
    assert 'borageward_event_ms_count{event="job_ended"} 3.0' in text


def test_scrape_library_is_not_imported_at_the_start():
    """Guards against a restart that takes longer than it has to."""
    code = (
        'import sys; import borageward.telemetry.eventmetrics; '
        'sys.exit("prometheus_client" in sys.modules)'
    )
    subprocess.run((sys.executable, '-c', code), check=True)
