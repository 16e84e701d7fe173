"""Resource use of an idle guard, and memory use of its ledger per job.

Runs a guard process against a stand-in control endpoint and a stand-in runner.
Prints memory, CPU share and bytes per second to and from control, then sends
jobs and prints the memory per job in the ledger.

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
_WINDOW_JOBS = 32
_SETTLE_S = 3.0
# Ethernet, IP and TCP headers of one segment. Each message takes two segments:
# its own and that of its acknowledgement.
_SEGMENT_HEADER_BYTES = 66
_TARGETS = types.MappingProxyType(
    {'memory_mb': 32, 'cpu_percent': 1.5, 'network_kb_s': 3},
)


@attrs.define(slots=True)
class Traffic:
    """Payload bytes and received chunks between guard and control."""

    payload_bytes: int = 0
    chunks: int = 0

    def total_bytes(self) -> int:
        """Return the bytes including the headers of all segments."""
        return self.payload_bytes + self.chunks * 2 * _SEGMENT_HEADER_BYTES


async def answer_request(request: Any) -> Any:
    """Answer a request as a control leader with nothing to report."""
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
    """Forward a connection in both directions and count its traffic."""
    upstream = await trio.open_tcp_stream(target.host, target.port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_forward, stream, upstream, traffic)
        nursery.start_soon(_forward, upstream, stream, traffic)


async def _forward(
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
    """Serve a handler on a free loopback port and return its address."""
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(
        functools.partial(trio.serve_listeners, handler, listeners),
    )
    port = listeners[0].socket.getsockname()[1]
    return f'127.0.0.1:{port}'


def memory_kb(pid: int, field: str = 'VmRSS') -> int:
    """Return a field of ``/proc/PID/status`` in KiB, or 0 if missing."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in status.splitlines():
        if line.startswith(f'{field}:'):
            return int(line.split()[1])
    return 0


def cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds, user and system."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    columns = stat.rpartition(')')[2].split()
    ticks = int(columns[11]) + int(columns[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def print_figure(name: str, measured: float, unit: str) -> None:
    """Print one figure, with its target if it has one."""
    target = _TARGETS.get(name)
    suffix = '' if target is None else f' target={target} {unit}'
    print(f'{name}={measured:.2f} {unit}{suffix}')


async def run_guard(arguments: argparse.Namespace) -> None:
    """Run the measured guard until its process is terminated.

    The first line of standard output is the address of the guard.
    """
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
    """Print memory, CPU share and control traffic of an idle guard."""
    await trio.sleep(_SETTLE_S)
    cpu_before = cpu_s(pid)
    bytes_before = traffic.total_bytes()
    payload_before = traffic.payload_bytes
    await trio.sleep(idle_s)
    print_figure('memory_mb', memory_kb(pid) * 1024 / 1_000_000, 'MB')
    print_figure('memory_mib', memory_kb(pid) / 1024, 'MiB')
    anonymous_mb = memory_kb(pid, 'RssAnon') * 1024 / 1_000_000
    print_figure('memory_anonymous_mb', anonymous_mb, 'MB')
    print_figure('cpu_percent', (cpu_s(pid) - cpu_before) / idle_s * 100, '%')
    network_kb_s = (traffic.total_bytes() - bytes_before) / idle_s / 1000
    print_figure('network_kb_s', network_kb_s, 'KB/s')
    payload_kb_s = (traffic.payload_bytes - payload_before) / idle_s / 1000
    print_figure('network_payload_kb_s', payload_kb_s, 'KB/s')


async def measure_ledger(pid: int, address: str, jobs: int) -> None:
    """Print memory after each quarter of the jobs, and bytes per job."""
    host, _, port = address.rpartition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    connection: FrameConnection[link.GuardToEntry]
    connection = FrameConnection(stream, link.GuardToEntry)
    await connection.send(link.Hello(1, 'e1'))
    await connection.receive()
    memory_bytes = []
    for _ in range(4):
        refused = await send_jobs(connection, jobs // 4)
        await trio.sleep(_SETTLE_S)
        memory_bytes.append(memory_kb(pid) * 1024)
        print_figure('memory_mb', memory_bytes[-1] / 1_000_000, 'MB')
        print_figure('refused', refused, 'tasks')
    slope = (memory_bytes[-1] - memory_bytes[0]) / (jobs * 3 / 4)
    print_figure('ledger_bytes_per_job', slope, 'B')
    await connection.close()


async def send_jobs(
    connection: FrameConnection[link.GuardToEntry],
    jobs: int,
) -> int:
    """Send jobs of one task in batches and return how many are refused."""
    refused = 0
    for _ in range(jobs // _WINDOW_JOBS):
        for _ in range(_WINDOW_JOBS):
            await connection.send(start_message())
        refused += await receive_answers(connection, _WINDOW_JOBS)
    return refused


async def receive_answers(
    connection: FrameConnection[link.GuardToEntry],
    pending: int,
) -> int:
    """Acknowledge results and return the number of refused tasks.

    Returns when ``pending`` tasks have finished or have been refused.
    """
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
    """Return the start message of a new job with one empty task."""
    job_id = new_job_id(SystemClock().wall_ms())
    spec = TaskSpec(0, 1, 'k', b'{}', True, RunClass.SHORT, 1)
    return link.StartTasks(job_id, 1, 'dispatch', False, 60_000, (spec,))


async def measure(arguments: argparse.Namespace) -> None:
    """Start the stand-ins and the guard, and print all figures."""
    from standins.runner import RunnerStandIn  # noqa: WPS433

    traffic = Traffic()
    runner = RunnerStandIn(_SLOTS, io.StringIO())
    with trio.fail_after(arguments.idle_s + 300):
        async with trio.open_nursery() as nursery:
            control = FrameRpcServer(
                _LOOPBACK, answer_request, wire.ControlRequest
            )
            await control.start(nursery)
            counting_relay = functools.partial(relay, control.address, traffic)
            command = [
                sys.executable,
                '-m',
                'bench.guard_footprint',
                '--control',
                await listen(nursery, counting_relay),
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
    """Print the figures of a guard process, idle and with jobs."""
    assert process.stdout is not None  # noqa: S101
    address = (await process.stdout.receive_some(100)).decode().strip()
    await measure_idle(process.pid, traffic, arguments.idle_s)
    await measure_ledger(process.pid, address, arguments.jobs)


def main() -> None:
    """Run the benchmark, or with ``--control`` the measured guard."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--idle-s', type=float, default=20)
    parser.add_argument('--jobs', type=int, default=10_000)
    parser.add_argument('--control', default='')
    parser.add_argument('--runner', default='')
    arguments = parser.parse_args()
    trio.run(run_guard if arguments.control else measure, arguments)


if __name__ == '__main__':
    main()
