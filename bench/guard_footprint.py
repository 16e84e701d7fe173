"""Footprint of an idle guard on its control path, and of its ledger.

Runs a guard process against a stand-in control endpoint and runner, prints
memory, CPU share and bytes per second, then sends jobs and prints the memory
per ledger job.

    python -m bench.guard_footprint --idle-s 20 --jobs 10000
"""

from __future__ import annotations

import argparse
import contextlib
import functools
import io
import os
import pathlib
import subprocess
import sys
import types
from collections.abc import AsyncIterator
from typing import Any

import attrs
import trio

from borageward.clock import SystemClock
from borageward.configuration import encode_configuration
from borageward.configuration import initial_configuration
from borageward.guard import GuardService
from borageward.identity import new_job_id
from borageward.messages import control as wire
from borageward.messages import guard as link
from borageward.messages.task import RunClass, TaskSpec
from borageward.policy.fifo_scheduler import FifoSlotScheduler
from borageward.settings import ControlAddress, GuardSettings
from borageward.telemetry import EventLog
from borageward.transport import Address, FrameConnection, FrameRpcServer

_LOOPBACK = Address('127.0.0.1', 0)
_SLOTS = 8
_WINDOW = 32
_SETTLE_S = 3.0
# Ethernet, IP and TCP headers of one segment; a message costs two segments,
# its own and its acknowledgement.
_SEGMENT_HEADER_BYTES = 66
_TARGETS = types.MappingProxyType(
    {'memory_mb': 32, 'cpu_percent': 1.5, 'network_kb_s': 3},
)


@attrs.define(slots=True)
class Traffic:
    """Bytes and messages on the control path."""

    payload_bytes: int = 0
    chunks: int = 0

    def total_bytes(self) -> int:
        """Return the bytes with the headers of all segments."""
        return self.payload_bytes + self.chunks * 2 * _SEGMENT_HEADER_BYTES


async def answer(request: Any) -> Any:
    """Answer as a control leader does."""
    if isinstance(request, wire.RegisterGuard):
        document = encode_configuration(initial_configuration())
        return wire.Registered(7, 1, document)
    if isinstance(request, wire.Heartbeat):
        return wire.HeartbeatReply(1, b'', (), 0, 3)
    return wire.Done()


async def relay(
    target: Address,
    traffic: Traffic,
    stream: trio.abc.Stream,
) -> None:
    """Forward a connection and count what passes."""
    upstream = await trio.open_tcp_stream(target.host, target.port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_pump, stream, upstream, traffic)
        nursery.start_soon(_pump, upstream, stream, traffic)


async def _pump(
    source: trio.abc.Stream,
    target: trio.abc.Stream,
    traffic: Traffic,
) -> None:
    async for chunk in _chunks(source):
        traffic.payload_bytes += len(chunk)
        traffic.chunks += 1
        await target.send_all(chunk)
    await target.aclose()


async def _chunks(source: trio.abc.Stream) -> AsyncIterator[bytes]:
    try:
        while chunk := await source.receive_some(65_536):
            yield bytes(chunk)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def listen(nursery: trio.Nursery, handler: Any) -> str:
    """Serve a handler on a free port and return the address."""
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(
        functools.partial(trio.serve_listeners, handler, listeners),
    )
    port = listeners[0].socket.getsockname()[1]
    return f'127.0.0.1:{port}'


def memory_kb(pid: int, field: str = 'VmRSS') -> int:
    """Return a memory figure of a process."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in status.splitlines():
        if line.startswith(f'{field}:'):
            return int(line.split()[1])
    return 0


def cpu_s(pid: int) -> float:
    """Return the processor time of a process."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    columns = stat.rpartition(')')[2].split()
    ticks = int(columns[11]) + int(columns[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def report(name: str, measured: float, unit: str) -> None:
    """Print one figure with its target, if any."""
    target = _TARGETS.get(name)
    bound = '' if target is None else f' target={target} {unit}'
    print(f'{name}={measured:.2f} {unit}{bound}')


async def run_guard(arguments: argparse.Namespace) -> None:
    """Run the measured process until it is ended."""
    settings = GuardSettings(
        worker='w1',
        service='dispatch',
        link_address='127.0.0.1:0',
        runner_address=arguments.runner,
        control=(ControlAddress('127.0.0.1:1', arguments.control),),
        result_retention_ms=1000,
    )
    async with trio.open_nursery() as nursery:
        guard = GuardService(
            settings,
            'nadi-depot',
            SystemClock(),
            EventLog(role='guard'),
            FifoSlotScheduler(_SLOTS),
        )
        await guard.start(nursery)
        print(guard.address, flush=True)


async def measure_idle(pid: int, traffic: Traffic, idle_s: float) -> None:
    """Print the footprint of a guard without work."""
    await trio.sleep(_SETTLE_S)
    cpu_before = cpu_s(pid)
    bytes_before = traffic.total_bytes()
    payload_before = traffic.payload_bytes
    await trio.sleep(idle_s)
    report('memory_mb', memory_kb(pid) * 1024 / 1_000_000, 'MB')
    report('memory_mib', memory_kb(pid) / 1024, 'MiB')
    anonymous = memory_kb(pid, 'RssAnon') * 1024 / 1_000_000
    report('memory_anonymous_mb', anonymous, 'MB')
    report('cpu_percent', (cpu_s(pid) - cpu_before) / idle_s * 100, '%')
    sent = (traffic.total_bytes() - bytes_before) / idle_s / 1000
    report('network_kb_s', sent, 'KB/s')
    payload = (traffic.payload_bytes - payload_before) / idle_s / 1000
    report('network_payload_kb_s', payload, 'KB/s')


async def measure_ledger(pid: int, address: str, jobs: int) -> None:
    """Print memory after each quarter of the jobs and the slope."""
    host, _, port = address.rpartition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    connection: FrameConnection[link.GuardToEntry]
    connection = FrameConnection(stream, link.GuardToEntry)
    await connection.send(link.Hello(1, 'e1'))
    await connection.receive()
    figures = []
    for _ in range(4):
        refused = await send_jobs(connection, jobs // 4)
        await trio.sleep(_SETTLE_S)
        figures.append(memory_kb(pid) * 1024)
        report('memory_mb', figures[-1] / 1_000_000, 'MB')
        report('refused', refused, 'tasks')
    slope = (figures[-1] - figures[0]) / (jobs * 3 / 4)
    report('ledger_bytes_per_job', slope, 'B')
    await connection.close()


async def send_jobs(
    connection: FrameConnection[link.GuardToEntry],
    jobs: int,
) -> int:
    """Run jobs of one task and return how many were refused."""
    refused = 0
    for _ in range(jobs // _WINDOW):
        for _ in range(_WINDOW):
            await connection.send(start_message())
        refused += await receive_answers(connection, _WINDOW)
    return refused


async def receive_answers(
    connection: FrameConnection[link.GuardToEntry],
    pending: int,
) -> int:
    """Acknowledge the results and return how many tasks were refused."""
    refused = 0
    while pending:
        message = await connection.receive()
        if isinstance(message, link.TasksRefused):
            pending -= len(message.indexes)
            refused += len(message.indexes)
        if isinstance(message, link.TasksFinished):
            pending -= len(message.outcomes)
            for item in message.outcomes:
                await connection.send(
                    link.Acknowledge((link.AcknowledgedJob(item.job_id, (0,)),))
                )
    return refused


def start_message() -> link.StartTasks:
    """Return the start of a job of one empty task."""
    job_id = new_job_id(SystemClock().wall_ms())
    spec = TaskSpec(0, 1, 'k', b'{}', True, RunClass.SHORT, 1)
    return link.StartTasks(job_id, 1, 'dispatch', False, 60_000, (spec,))


async def measure(arguments: argparse.Namespace) -> None:
    """Run the stand-ins and the guard, and print the figures."""
    from standins.runner import RunnerStandIn  # noqa: WPS433

    traffic = Traffic()
    runner = RunnerStandIn(_SLOTS, io.StringIO())
    with trio.fail_after(arguments.idle_s + 300):
        async with trio.open_nursery() as nursery:
            control = FrameRpcServer(_LOOPBACK, answer, wire.ControlRequest)
            await control.start(nursery)
            counted = functools.partial(relay, control.address, traffic)
            command = [
                sys.executable,
                '-m',
                'bench.guard_footprint',
                '--control',
                await listen(nursery, counted),
                '--runner',
                await listen(nursery, runner.serve),
            ]
            process = await trio.lowlevel.open_process(
                command,
                stdout=subprocess.PIPE,
            )
            with contextlib.ExitStack() as cleanup:
                cleanup.callback(nursery.cancel_scope.cancel)
                cleanup.callback(process.terminate)
                await measure_process(process, traffic, arguments)


async def measure_process(
    process: trio.Process,
    traffic: Traffic,
    arguments: argparse.Namespace,
) -> None:
    """Measure the guard process."""
    assert process.stdout is not None  # noqa: S101
    address = (await process.stdout.receive_some(100)).decode().strip()
    await measure_idle(process.pid, traffic, arguments.idle_s)
    await measure_ledger(process.pid, address, arguments.jobs)


def main() -> None:
    """Run the benchmark, or the guard process that it measures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--idle-s', type=float, default=20)
    parser.add_argument('--jobs', type=int, default=10_000)
    parser.add_argument('--control', default='')
    parser.add_argument('--runner', default='')
    arguments = parser.parse_args()
    trio.run(run_guard if arguments.control else measure, arguments)


if __name__ == '__main__':
    main()
