"""Claims per second, and the time from the leader's failure to the next claim.

Usage: python -m bench.claims [seconds for each run]
"""

from __future__ import annotations

import functools
import pathlib
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

import attrs
import msgspec
import trio

from borageward.clock import SystemClock
from borageward.controlclient import ControlClient, open_grpc_client
from borageward.control.storage.records import scan_records
from borageward.failures import Failure
from borageward.identity import new_job_id
from borageward.messages import control as messages
from borageward.settings import ControlSettings, VoterAddress
from borageward.transport import Address

CONTROL_MODULE = 'bench.control_process'
_CHECK_INTERVAL_S = 0.2
CLIENTS = 32
KILLS = 5
TIMEOUT_MS = 10_000
_START_LIMIT_S = 20.0
_FAILOVER_LIMIT_S = 60.0
COLUMNS = (
    'replicas',
    'batch',
    'claims/s',
    'median ms',
    'log B/cl',
    'syncs/cl',
    'RAM B/cl',
)


@attrs.define
class ClaimMeasurement:
    """Number of claimed jobs and latencies of the requests of one run."""

    claims: int = 0
    latencies_ms: list[float] = attrs.field(factory=list)


@attrs.frozen
class LogSize:
    """Size of a control log; each record is one synced write."""

    length_bytes: int
    records: int


class ChildEnded(Exception):
    """A control process ended by itself, so nothing can be measured."""

    def __init__(self, voter_id: str, status: int) -> None:
        """Describe the end of a voter's process with its exit status."""
        super().__init__(f'voter {voter_id} ended with status {status}')


class ProcessGroup:
    """Control processes that listen on ports of the loopback interface."""

    def __init__(self, count: int, folder: pathlib.Path) -> None:
        """Choose the addresses of ``count`` voters without starting them.

        ``folder`` receives the settings and data of the processes.
        """
        self._folder = folder
        ports = _free_ports(2 * count)
        self.voters = tuple(
            VoterAddress(
                f'v{number}',
                _address(ports[2 * number]),
                _address(ports[2 * number + 1]),
            )
            for number in range(count)
        )
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._killed: set[str] = set()

    def start(self, voter: VoterAddress) -> None:
        """Write the settings of a voter and start its process."""
        settings = ControlSettings(
            voter.voter_id,
            str(self._folder / voter.voter_id),
            voter.address,
            voter.member_address,
            self.voters,
        )
        path = self._folder / f'{voter.voter_id}.json'
        path.write_bytes(msgspec.json.encode(settings))
        self._killed.discard(voter.voter_id)
        self._processes[voter.voter_id] = subprocess.Popen(
            (sys.executable, '-m', CONTROL_MODULE, str(path)),
        )

    async def watch(self) -> None:
        """Raise ``ChildEnded`` when a process ends that was not killed."""
        while True:
            for voter_id, process in self._processes.items():
                if process.poll() is not None and voter_id not in self._killed:
                    raise ChildEnded(voter_id, process.returncode)
            await trio.sleep(_CHECK_INTERVAL_S)

    def kill(self, voter_id: str) -> None:
        """Kill the process of a voter and wait until it has exited."""
        self._killed.add(voter_id)
        self._processes[voter_id].kill()
        self._processes[voter_id].wait()

    def close(self) -> None:
        """Kill all processes and wait until they have exited."""
        for process in self._processes.values():
            process.kill()
            process.wait()

    def memory_bytes(self, voter_id: str) -> int:
        """Return the resident memory of a voter, assuming pages of 4 KiB."""
        pid = self._processes[voter_id].pid
        status = pathlib.Path(f'/proc/{pid}/statm').read_text()
        return int(status.split()[1]) * 4096

    def log_size(self, voter_id: str) -> LogSize:
        """Return the total size of the log segments of a voter."""
        paths = list((self._folder / voter_id).glob('log-*'))
        documents = [path.read_bytes() for path in paths]
        return LogSize(
            sum(len(document) for document in documents),
            sum(len(scan_records(item).payloads) for item in documents),
        )

    def addresses(self) -> list[Address]:
        """Return the gRPC addresses of all voters."""
        ports = [int(voter.address.split(':')[1]) for voter in self.voters]
        return [Address('127.0.0.1', port) for port in ports]


async def register(client: ControlClient) -> int:
    """Register an entry and return its incarnation.

    Requests are repeated until control accepts one.
    """
    nonce = random.randbytes(8)
    request = messages.RegisterEntry(nonce, 'bench', 'here', 'a', 'b')
    while True:
        reply = await client.call(request, TIMEOUT_MS)
        if isinstance(reply, messages.Registered):
            return reply.incarnation


async def keep_alive(client: ControlClient, incarnation: int) -> None:
    """Send heartbeats of an entry until cancelled."""
    while True:
        await client.call(messages.Heartbeat(incarnation, 0, 0), TIMEOUT_MS)
        await trio.sleep(0.3)


async def claim_jobs(
    client: ControlClient,
    incarnation: int,
    batch: int,
    measured: ClaimMeasurement,
) -> None:
    """Claim batches of new jobs one after another until cancelled.

    Only requests that control answers with claims count in ``measured``.
    """
    digest = bytes(16)
    while True:
        wall_ms = time.time_ns() // 1_000_000
        requests = tuple(
            messages.ClaimRequest(new_job_id(wall_ms), digest, 15)
            for _ in range(batch)
        )
        started = time.perf_counter()
        claim = messages.Claim(incarnation, requests)
        reply = await client.call(claim, TIMEOUT_MS)
        if isinstance(reply, messages.Claimed):
            measured.claims += len(reply.answers)
            elapsed = time.perf_counter() - started
            measured.latencies_ms.append(elapsed * 1000)


async def read_leader_status(client: ControlClient) -> messages.ControlStatus:
    """Return the first control status that names a leader.

    Requests are repeated until a replica knows the leader.
    """
    while True:
        reply = await client.call(messages.ReadControl(), TIMEOUT_MS)
        if isinstance(reply, messages.ControlStatus) and reply.leader:
            return reply


async def measure_rate(group: ProcessGroup, batch: int, seconds: float) -> str:
    """Measure claims for a number of seconds and return the table row."""
    client = open_grpc_client(group.addresses(), SystemClock())
    measured = ClaimMeasurement()
    incarnation = await register(client)
    leader = (await read_leader_status(client)).leader
    memory = group.memory_bytes(leader)
    before = group.log_size(leader)
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_alive, client, incarnation)
            for _ in range(CLIENTS):
                nursery.start_soon(
                    claim_jobs, client, incarnation, batch, measured
                )
    after = group.log_size(leader)
    memory = group.memory_bytes(leader) - memory
    await client.close()
    claims = max(1, measured.claims)
    median = statistics.median(measured.latencies_ms or [0])
    columns = (
        len(group.voters),
        batch,
        claims / seconds,
        median,
        (after.length_bytes - before.length_bytes) / claims,
        (after.records - before.records) / claims,
        memory / claims,
    )
    return ' '.join(format(column, '10.3f') for column in columns)


async def measure_failover(group: ProcessGroup) -> str:
    """Return a line with the time from each kill of the leader to a claim."""
    client = open_grpc_client(group.addresses(), SystemClock())
    times_ms = []
    for _ in range(KILLS):
        incarnation = await register(client)
        leader = (await read_leader_status(client)).leader
        group.kill(leader)
        started = time.perf_counter()
        while not await _claim_one(client, incarnation):
            await trio.sleep(0.005)
        times_ms.append((time.perf_counter() - started) * 1000)
        voter = next(item for item in group.voters if item.voter_id == leader)
        group.start(voter)
        await trio.sleep(2)
    await client.close()
    formatted = ' '.join(f'{time_ms:.0f}' for time_ms in times_ms)
    return f'kill of the leader to the next claim, ms: {formatted}'


async def _claim_one(client: ControlClient, incarnation: int) -> bool:
    job_id = new_job_id(time.time_ns() // 1_000_000)
    request = messages.ClaimRequest(job_id, bytes(16), 1)
    claim = messages.Claim(incarnation, (request,))
    reply = await client.call(claim, TIMEOUT_MS)
    return not isinstance(reply, Failure)


async def measure(
    count: int,
    limit_s: float,
    measurement: Callable[[ProcessGroup], Awaitable[str]],
) -> None:
    """Print the result of a measurement on a new group of processes.

    Prints that it gave no result when it takes longer than ``limit_s``. Raises
    ``ChildEnded``, in an exception group, when a process ends by itself.
    """
    with tempfile.TemporaryDirectory() as folder:
        group = ProcessGroup(count, pathlib.Path(folder))
        try:
            for voter in group.voters:
                group.start(voter)
            print(await _measure_while_watched(group, limit_s, measurement))
        finally:
            group.close()


async def main(seconds: float) -> None:
    """Print the claim table and the failover times.

    Each row of the table is measured for ``seconds``.
    """
    print(' '.join(name.rjust(10) for name in COLUMNS))
    for count in (1, 3):
        for batch in (1, 10, 100):
            rate = functools.partial(measure_rate, batch=batch, seconds=seconds)
            await measure(count, seconds + _START_LIMIT_S, rate)
    await measure(3, _FAILOVER_LIMIT_S, measure_failover)


async def _measure_while_watched(
    group: ProcessGroup,
    limit_s: float,
    measurement: Callable[[ProcessGroup], Awaitable[str]],
) -> str:
    line = f'no result within {limit_s:.0f} s'
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.watch)
        with trio.move_on_after(limit_s):
            line = await measurement(group)
        nursery.cancel_scope.cancel()
    return line


def _address(port: int) -> str:
    return f'127.0.0.1:{port}'


def _free_ports(count: int) -> list[int]:
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


if __name__ == '__main__':
    trio.run(main, float(sys.argv[1]) if len(sys.argv) > 1 else 5.0)
