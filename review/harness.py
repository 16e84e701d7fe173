"""Stand-ins for the scripts of the review: platform, operator, client, runner.

Only the standard library is used. A deployment consists of the project's own
programs, each on a loopback address of its own, started with the commands of
deploy/system.toml.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2

GRACE_S = 6.0
MAX_HOLD_MS = 1000
STOP_GRACE_S = 0.02
PING_S = 1.5
HOST = 'nony24.example'
SERVICE = 'huvo11a'


class CannotRun(Exception):
    """The deployment did not come up, so the case says nothing."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def note(self, text: str) -> None:
        line = f'{self.now():9.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP message; return its first line, headers and body."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length) if length else b''
    return first, headers, body


_STREAM_ERRORS = (OSError, EOFError, asyncio.IncompleteReadError, ValueError)


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    document: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 60.0,
) -> tuple[int, bytes]:
    """Make one HTTP call on a channel of its own.

    Returns status 0 if the channel ended without a complete answer.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            await send_request(writer, method, path, document, headers)
            message = await read_message(reader)
    except (*_STREAM_ERRORS, TimeoutError):
        return 0, b''
    finally:
        if writer is not None:
            writer.close()
    return int(message[0].split()[1]), message[2]


async def send_request(
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    document: object = None,
    headers: dict[str, str] | None = None,
) -> None:
    body = b'' if document is None else json.dumps(document).encode()
    lines = [f'{method} {path} HTTP/1.1']
    fields = {
        'Host': HOST,
        'Content-Type': 'application/json',
        'Content-Length': str(len(body)),
        **(headers or {}),
    }
    lines += [f'{name}: {text}' for name, text in fields.items()]
    writer.write('\r\n'.join([*lines, '', '']).encode() + body)
    await writer.drain()


class Relay:
    """Proxy that can drop, one way or both, what it should forward."""

    def __init__(self, listen: str, target: Callable[[], tuple[str, int]]):
        self._listen = listen
        self._target = target
        self.port = 0
        self.drops_to_target = False
        self.drops_from_target = False
        # Number of coming channels that are reset before they carry anything.
        self.resets = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self._listen, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target()
            )
        except OSError:
            writer.close()
            return
        if self.resets:
            self.resets -= 1
            _reset(writer)
            far_writer.close()
            return
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, 'drops_to_target'),
                self._pump(far_reader, writer, 'drops_from_target'),
            )
        finally:
            writer.close()
            far_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        switch: str,
    ) -> None:
        with contextlib.suppress(*_STREAM_ERRORS):
            while chunk := await reader.read(65_536):
                # A cut holds bytes back; TCP delivers them after it.
                while getattr(self, switch):
                    await asyncio.sleep(0.01)
                writer.write(chunk)
                await writer.drain()
        while getattr(self, switch):
            await asyncio.sleep(0.01)
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    opened = writer.get_extra_info('socket')
    opened.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.close()


class Run:
    """One run of a task at a runner."""

    def __init__(self, runner: str, task: str, run: int, spec: dict) -> None:
        self.runner = runner
        self.task = task
        self.run = run
        self.spec = spec
        self.started_s = time.monotonic()
        self.ended_s: float | None = None
        self.how = ''

    @property
    def work_s(self) -> float:
        return self.spec['work_ms'] / 1000

    def percent(self) -> int:
        done = (time.monotonic() - self.started_s) / self.work_s
        return min(99, int(100 * done))


class Runner:
    """Runner that follows the protocol page.

    It guards its capacity, keeps the highest fence, ends everything when its
    lease expires, and lists ends until they are acknowledged. The work of a
    task and its cores stand in the job's spec.
    """

    def __init__(self, name: str, host: str, record: Record) -> None:
        self.name = name
        self.host = host
        self.id = f'i-{secrets.token_hex(4)}'
        self.born = int(time.time() * 1000)
        self.capacity = {'cpu': 16_000, 'mem_mb': 65_536, 'gpu': 0}
        self.labels = ['a', f'r1-{name}']
        self.state = 'ready'
        self.runs: list[Run] = []
        self.up = True
        self.guard: tuple[str, int] = ('', 0)
        self.app_address = ''
        self.port = 0
        self._record = record
        self._origin = time.monotonic() - 482.0
        self._fence = 0
        self._lease_ms = 0
        self._highest: dict[str, int] = {}
        self._ended: list[list] = []
        self._last_end = 0
        self._changed = asyncio.Event()
        self._seq = 0
        self._tasks: list[asyncio.Task] = []
        self._ping_channel: tuple | None = None
        self._ping_lock = asyncio.Lock()
        self._writers: set[asyncio.StreamWriter] = set()

    def clock_ms(self) -> int:
        return int((time.monotonic() - self._origin) * 1000)

    def active(self) -> list[Run]:
        return [run for run in self.runs if run.ended_s is None]

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]
        self.app_address = f'{self.host}:{self.port}'
        self._server = server
        self._tasks.append(asyncio.create_task(self._work()))

    def begin_pings(self) -> None:
        self._tasks.append(asyncio.create_task(self._ping_always()))

    def end(self, why: str) -> None:
        """End the process of the runner: all that runs on it ends."""
        if not self.up:
            return
        self.up = False
        self._record.note(f'runner {self.name} ends ({why})')
        for run in self.active():
            self._finish(run, 'terminated')
        self._server.close()
        for writer in self._writers:
            writer.close()
        if self._ping_channel is not None:
            self._ping_channel[1].close()
        for task in self._tasks:
            task.cancel()

    # Reports to the guard of its machine.

    async def _ping_always(self) -> None:
        while True:
            await self.ping()
            await asyncio.sleep(PING_S)

    async def ping(self) -> bool:
        self._seq += 1
        document = {
            'service': SERVICE,
            'address': self.app_address,
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_remaining_ms': 0,
            'capacity': self.capacity,
            'labels': self.labels,
            'clock_ms': self.clock_ms(),
            'seq': self._seq,
            'born': self.born,
        }
        return await self.report('PUT', document, 1.0) == 200

    async def report(
        self, method: str, document: object, timeout_s: float
    ) -> int:
        """Call the guard on a channel that is kept open; 0 is no answer."""
        async with self._ping_lock:
            try:
                async with asyncio.timeout(timeout_s):
                    if self._ping_channel is None:
                        self._ping_channel = await asyncio.open_connection(
                            *self.guard
                        )
                    reader, writer = self._ping_channel
                    await send_request(
                        writer,
                        method,
                        f'/v1/instances/{self.id}',
                        document,
                    )
                    message = await read_message(reader)
                    return int(message[0].split()[1])
            except (*_STREAM_ERRORS, TimeoutError):
                if self._ping_channel is not None:
                    self._ping_channel[1].close()
                self._ping_channel = None
                return 0

    async def drain(self) -> bool:
        """Report that the runner drains; return whether it was acked."""
        self.state = 'draining'
        acked = await self.ping()
        self._record.note(f'runner {self.name} drains, acked={acked}')
        return acked

    async def leave(self, wait_s: float) -> None:
        """Report the end and end: at once with an ack, else after wait_s."""
        self._record.note(f'runner {self.name} sends DELETE')
        status = await self.report('DELETE', None, wait_s)
        self.end('ack' if status == 200 else f'no ack in {wait_s} s')

    # Calls of the guard.

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(*_STREAM_ERRORS):
            while self.up:
                first, headers, body = await read_message(reader)
                path = first.split()[1]
                document = json.loads(body) if body else {}
                if headers.get('expect-instance', self.id) != self.id:
                    status, reply = 421, {}
                else:
                    status, reply = await self._answer(path, document)
                reply = {
                    'clock_ms': self.clock_ms(), 'born': self.born, **reply
                }
                text = json.dumps(reply).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(text)}\r\n\r\n'.encode() + text
                )
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, path: str, document: dict) -> tuple[int, dict]:
        fence = document.get('fencing_token', 0)
        if fence < self._fence:
            return 409, {'reason': 'fence'}
        self._fence = fence
        if path == '/v1/run-start':
            return self._start(document)
        if path == '/v1/run-stop':
            self._stop(document)
            return 200, {}
        if path == '/v1/hold':
            return await self._hold(document)
        return 400, {}

    def _extend(self, deadline_ms: int) -> None:
        longest = self.clock_ms() + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest))

    def _start(self, document: dict) -> tuple[int, dict]:
        if document['deadline_ms'] < self.clock_ms():
            return 409, {'reason': 'late'}
        task, number = document['task'], document['run_id']
        self._extend(document['deadline_ms'])
        for run in self.active():
            if run.task == task:
                same = run.run == number
                return (200, {}) if same else (409, {'reason': 'old'})
        if number <= self._highest.get(task, 0):
            return 409, {'reason': 'old'}
        spec = json.loads(document['spec'])
        used = sum(run.spec['cpu'] for run in self.active())
        if used + spec['cpu'] > self.capacity['cpu']:
            return 409, {'reason': 'room'}
        run = Run(self.name, task, number, spec)
        self.runs.append(run)
        self._highest[task] = number
        self._record.note(f'runner {self.name} starts {task} run {number}')
        return 200, {}

    def _stop(self, document: dict) -> None:
        task, number = document['task'], document['run_id']
        self._highest[task] = max(self._highest.get(task, 0), number)
        for run in self.active():
            if run.task == task and run.run <= number:
                run.spec = {**run.spec, 'stop_s': time.monotonic()}

    async def _hold(self, document: dict) -> tuple[int, dict]:
        if 'deadline_ms' in document:
            self._extend(document['deadline_ms'])
        cursor = document.get('ack_cursor', 0)
        self._ended = [end for end in self._ended if end[0] > cursor]
        wait_s = document.get('wait_ms', 0) / 1000
        if not self._ended and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        running = [
            [run.task, run.run, '', run.percent()] for run in self.active()
        ]
        return 200, {'running': running, 'finished': self._ended[:500]}

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.002)
            now = time.monotonic()
            lapsed = self.clock_ms() > self._lease_ms
            for run in self.active():
                stop_s = run.spec.get('stop_s')
                if now - run.started_s >= run.work_s:
                    self._finish(run, 'done')
                elif stop_s is not None and now - stop_s >= STOP_GRACE_S:
                    self._finish(run, 'stopped')
                elif lapsed:
                    self._finish(run, 'lapsed')

    def _finish(self, run: Run, how: str) -> None:
        run.ended_s = time.monotonic()
        run.how = how
        self._last_end += 1
        self._ended.append([self._last_end, run.task, run.run, how, ''])
        self._record.note(
            f'runner {self.name} ends {run.task} run {run.run}: {how}'
        )
        self._changed.set()
        self._changed = asyncio.Event()


class Process:
    """One of the project's programs."""

    def __init__(self, name: str, role: str, settings: dict) -> None:
        self.name = name
        self.role = role
        self.settings = settings
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, folder: pathlib.Path) -> None:
        path = folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['BORAGEWARD_CONFIG'] = str(path)
        with (folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3', '-m', 'borageward_platform', self.role,
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )

    def signal(self, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Deployment:
    """Three control replicas, some entries, and some guards with runners."""

    def __init__(
        self,
        record_path: pathlib.Path,
        entries: int = 2,
        runners: int = 2,
        controls: int = 3,
    ) -> None:
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._net = f'127.{random.randint(2, 250)}.{random.randint(1, 250)}'
        self._ports = _free_ports(self._net, 6)
        link = [self._ports[0], self._ports[0]]
        self.control = [f'{self._net}.{10 + n}' for n in range(controls)]
        self._seeds = [f'{host}:{self._ports[1]}' for host in self.control[:3]]
        self.processes: dict[str, Process] = {}
        self._link = link
        for number, host in enumerate(self.control):
            data = self.folder / f'data-{number}'
            data.mkdir()
            self._add(
                f'control{number}', 'control', host,
                operator_address=f'{host}:{self._ports[1]}',
                data_folder=str(data),
            )
        self.entries: dict[str, tuple[str, int]] = {}
        self.ready: dict[str, tuple[str, int]] = {}
        for number in range(entries):
            host = f'{self._net}.{30 + number}'
            name = f'entry{number}'
            self.entries[name] = (host, self._ports[2])
            self.ready[name] = (host, self._ports[3])
            self._add(
                name, 'entry', host,
                caller_address=f'{host}:{self._ports[2]}',
                ready_address=f'{host}:{self._ports[3]}',
            )
        self.runners: dict[str, Runner] = {}
        for number in range(runners):
            host = f'{self._net}.{60 + number}'
            name = f'side{number}'
            self._add(
                name, 'guard', host,
                operator_address=f'{host}:{self._ports[1]}',
                endpoint_address=f'{host}:{self._ports[4]}',
            )
            runner = Runner(name, host, self.record)
            runner.guard = (host, self._ports[1])
            self.runners[name] = runner

    def _add(self, name: str, role: str, host: str, **fields: object) -> None:
        settings = {
            'name': name,
            'availability_zone': 'z1',
            'host': host,
            'link_ports': self._link,
            'seeds': self._seeds,
            'first_start': True,
            'losses': 1,
            'grace_s': GRACE_S,
            'caller_address': '',
            'ready_address': '',
            'operator_address': '',
            'endpoint_address': '',
            'metrics_port': self._ports[5],
            'data_folder': None,
            **fields,
        }
        self.processes[name] = Process(name, role, settings)

    async def start(self, manifest: dict) -> None:
        """Start all processes and wait until a small job is served."""
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CannotRun('target/deps is missing: run sh deploy/build')
        for process in self.processes.values():
            await process.start(self.folder)
        for runner in self.runners.values():
            await runner.start()
        await self.publish(manifest)
        await self._wait_ready()

    def begin_pings(self) -> None:
        for runner in self.runners.values():
            runner.begin_pings()

    async def publish(self, manifest: dict) -> None:
        for _ in range(60):
            for host in self.control:
                status, _ = await call(
                    (host, self._ports[1]), 'PUT', '/v1/config', manifest,
                    timeout_s=1.0,
                )
                if status == 200:
                    self.record.note(f'manifest {manifest["version"]} acked')
                    return
            await asyncio.sleep(0.25)
        raise CannotRun('no control replica acknowledged the manifest')

    async def read_back(self) -> dict[str, tuple[int, int]]:
        """Read the manifest at each replica; return status and version."""
        found = {}
        for number, host in enumerate(self.control):
            status, body = await call(
                (host, self._ports[1]), 'GET', '/v1/config', timeout_s=1.0
            )
            version = json.loads(body)['version'] if status == 200 else 0
            found[f'control{number}'] = (status, version)
        return found

    async def lose_disk(self, name: str, down_s: float) -> None:
        """Kill a control replica and start it again with an empty disk."""
        process = self.processes[name]
        await process.kill()
        folder = pathlib.Path(process.settings['data_folder'])
        shutil.rmtree(folder)
        folder.mkdir()
        process.settings = {**process.settings, 'first_start': False}
        await asyncio.sleep(down_s)
        await process.start(self.folder)

    def leader(self) -> str:
        """Return the control replica whose log says that it leads."""
        newest = (0, '')
        for name, process in self.processes.items():
            if process.role == 'control':
                log = (self.folder / f'{name}.log').read_text()
                for line in log.splitlines():
                    if 'event=leader_started' in line:
                        term = int(line.rpartition('term=')[2].split()[0])
                        newest = max(newest, (term, name))
        return newest[1]

    async def _wait_ready(self) -> None:
        for _ in range(80):
            answers = [
                await call(address, 'GET', '/v1/ready', timeout_s=1.0)
                for address in self.ready.values()
            ]
            if all(status == 200 for status, _ in answers):
                return
            await asyncio.sleep(0.25)
        raise CannotRun('an entry does not become ready')

    async def warm_up(self, prefix: str, rounds: int = 8) -> None:
        """Wait until each entry has used each runner once."""
        for _ in range(60):
            for address in self.entries.values():
                await call(
                    address, 'POST', prefix + new_id(),
                    job([step(count=rounds, work_ms=60, est_ms=60)], 60),
                    {'Deadline-Ms': '3000'}, timeout_s=4.0,
                )
            if all(runner.runs for runner in self.runners.values()):
                self.record.note('warmed up')
                return
            await asyncio.sleep(0.3)
        raise CannotRun('the runners get no work')

    async def close(self) -> None:
        for process in self.processes.values():
            await process.kill()
        for runner in self.runners.values():
            runner.end('end of the script')
        if os.environ.get('KEEP_LOGS'):
            print('logs in', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_ports(net: str, count: int) -> list[int]:
    """Return ports that are free on an address of the deployment's own."""
    sockets = []
    for _ in range(count):
        opened = socket.socket()
        opened.bind((f'{net}.9', 0))
        sockets.append(opened)
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


def new_id() -> str:
    return secrets.token_hex(8)


def step(
    count: int, work_ms: int, est_ms: int, cpu: int = 1600, **fields: object
) -> dict:
    return {
        'count': count, 'cpu': cpu, 'mem_mb': 64, 'est_runtime_ms': est_ms,
        **fields,
    }


def job(steps: list[dict], work_ms: int, cpu: int = 1600) -> dict:
    spec = json.dumps({'work_ms': work_ms, 'cpu': cpu})
    return {'spec': spec, 'steps': steps, 'best_effort': True}


def route(name: str, prefix: str, priority: int, timeout_ms: int) -> dict:
    return {
        'name': name, 'host': HOST, 'path_prefix': prefix,
        'type': 'non_idempotent', 'timeout_ms': timeout_ms,
        'target_latency_ms': 60, 'priority': priority, 'service': SERVICE,
        'max_attempts': 4, 'stretch': 1.6,
    }


def manifest(version: int, routes: list[dict]) -> dict:
    return {
        'version': version,
        'routes': routes,
        'services': [{
            'name': SERVICE, 'health_path': '/healthz', 'max_conns': 64,
            'protocol': 'h1', 'tls': False, 'admission_check': True,
            'standby': False,
        }],
        'limits': {
            'max_header_bytes': 16_384, 'max_body_bytes': 262_144,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15_000,
        },
    }


def main(
    record_path: pathlib.Path,
    play: Callable[[Deployment], Awaitable[bool]],
    **sizes: int,
) -> int:
    """Play a case; return 1 if the rule was broken, 0 if not, 2 if not run."""

    async def run() -> int:
        deployment = Deployment(record_path, **sizes)
        try:
            async with asyncio.timeout(100):
                broken = await play(deployment)
        except (CannotRun, TimeoutError) as error:
            deployment.record.note(f'cannot run: {error!r}')
            return NOT_RUN
        finally:
            await deployment.close()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            gc.collect()
        verdict = 'BROKEN' if broken else 'held'
        deployment.record.note(f'verdict: {verdict} (TROUBLE={int(TROUBLE)})')
        return BROKEN if broken else HELD

    return asyncio.run(run())


if __name__ == '__main__':
    sys.exit('this module is used by the scripts of the cases')
