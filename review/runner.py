"""Runner of a small deployment, as the users' pages describe it.

It runs tasks under leases, answers ``run-start``, ``run-stop`` and ``hold``,
and reports itself to the guard of its host. Its own process; a line of its
output says when a task starts or ends.

    python3 runner.py GUARD_REPORT_ADDRESS OWN_ADDRESS SERVICE WORK_MS
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

PING_S = 0.5
MAX_HOLD_MS = 1000
CAPACITY = {'cpu': 64_000, 'mem_mb': 65_536, 'gpu': 0}
STEP_S = 0.005


class Runner:
    def __init__(self, report: str, address: str, service: str, work_ms: float):
        self.report = report
        self.address = address
        self.service = service
        self.work_ms = work_ms
        self.id = f'i-{address.replace(":", "-")}'
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.seq = 0
        self.fence = 0
        self.lease_ms = 0.0
        self.running: dict[str, list] = {}
        self.highest: dict[str, int] = {}
        self.finished: list[list] = []
        self.last_end = 0

    def clock_ms(self) -> int:
        return int((time.monotonic() - self.started) * 1000)

    def say(self, text: str) -> None:
        print(f'{time.monotonic():.4f} {text}', flush=True)

    def end(self, task: str, how: str) -> None:
        run = self.running.pop(task)[0]
        self.last_end += 1
        self.finished.append([self.last_end, task, run, how, ''])
        self.say(f'end {task} {run} {how}')

    def advance(self) -> None:
        now = self.clock_ms()
        for task, (_, _, ends_ms) in list(self.running.items()):
            if now >= ends_ms:
                self.end(task, 'done')
            elif now > self.lease_ms:
                self.end(task, 'lapsed')

    def extend(self, deadline_ms: float) -> None:
        longest = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    def room(self, cpu: int) -> bool:
        return len(self.running) * cpu + cpu <= CAPACITY['cpu']

    def start(self, body: dict) -> tuple[int, dict]:
        self.advance()
        if body.get('fencing_token', 0) < self.fence:
            return 409, {'reason': 'fence'}
        self.fence = body.get('fencing_token', 0)
        if body['deadline_ms'] < self.clock_ms():
            return 409, {'reason': 'late'}
        self.extend(body['deadline_ms'])
        task, run = body['task'], body['run_id']
        known = self.running.get(task)
        if known is not None and known[0] == run:
            return 200, {}
        if run <= self.highest.get(task, 0) or known is not None:
            return 409, {'reason': 'old'}
        self.highest[task] = run
        now = self.clock_ms()
        self.running[task] = [run, now, now + self.work_ms]
        self.say(f'start {task} {run}')
        return 200, {}

    def stop(self, body: dict) -> tuple[int, dict]:
        self.advance()
        if body.get('fencing_token', 0) < self.fence:
            return 409, {'reason': 'fence'}
        self.fence = body.get('fencing_token', 0)
        task, run = body['task'], body['run_id']
        self.highest[task] = max(run, self.highest.get(task, 0))
        if task in self.running and self.running[task][0] <= run:
            self.end(task, 'stopped')
        return 200, {}

    async def hold(self, body: dict) -> tuple[int, dict]:
        self.advance()
        if body.get('fencing_token', 0) < self.fence:
            return 409, {'reason': 'fence'}
        self.fence = body.get('fencing_token', 0)
        if body.get('deadline_ms') is not None:
            self.extend(body['deadline_ms'])
        cursor = body.get('ack_cursor', 0)
        self.finished = [end for end in self.finished if end[0] > cursor]
        until = time.monotonic() + body.get('wait_ms', 0) / 1000
        while not self.finished and time.monotonic() < until:
            await asyncio.sleep(STEP_S)
            self.advance()
        now = self.clock_ms()
        running = [
            [task, run, '', min(99, int(100 * (now - begun) / (ends - begun))), 1]
            for task, (run, begun, ends) in self.running.items()
        ]
        return 200, {'running': running, 'finished': self.finished[:500]}

    async def answer(self, path: str, headers: dict, body: dict):
        if headers.get('expect-instance', self.id) != self.id:
            return 421, {}
        if path == '/v1/run-start':
            return self.start(body)
        if path == '/v1/run-stop':
            return self.stop(body)
        if path == '/v1/hold':
            return await self.hold(body)
        return 200, {}

    async def serve(self, reader, writer) -> None:
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                lines = head.split('\r\n')
                headers = {
                    name.lower(): text.strip()
                    for name, _, text in (line.partition(':') for line in lines[1:] if line)
                }
                size = int(headers.get('content-length', 0))
                raw = await reader.readexactly(size) if size else b'{}'
                path = lines[0].split(' ')[1]
                status, reply = await self.answer(path, headers, json.loads(raw))
                reply.update(clock_ms=self.clock_ms(), born=self.born)
                text = json.dumps(reply).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(text)}\r\n\r\n'.encode() + text,
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def ping(self) -> None:
        host, _, port = self.report.rpartition(':')
        while True:
            self.seq += 1
            text = json.dumps(
                {
                    'service': self.service, 'address': self.address,
                    'zone': 'zone-1', 'version': 'v1', 'slots': 8,
                    'state': 'ready', 'cold_remaining_ms': 0,
                    'capacity': CAPACITY, 'labels': ['a', 'r1-1'],
                    'clock_ms': self.clock_ms(), 'seq': self.seq,
                    'born': self.born,
                },
            ).encode()
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    f'PUT /v1/instances/{self.id} HTTP/1.1\r\nHost: x\r\n'
                    f'Content-Type: application/json\r\n'
                    f'Content-Length: {len(text)}\r\n\r\n'.encode() + text,
                )
                await asyncio.wait_for(reader.readline(), 1)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(PING_S)

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            self.advance()

    async def run(self) -> None:
        host, _, port = self.address.rpartition(':')
        server = await asyncio.start_server(self.serve, host, int(port))
        async with server:
            await asyncio.gather(self.ping(), self.tick())


if __name__ == '__main__':
    asyncio.run(Runner(*sys.argv[1:4], float(sys.argv[4])).run())
