"""Stand-in for a runner: runs tasks by sleeping.

It serves ``POST /run``, ``GET /status`` and ``POST /throttle``; the latter
takes any of ``speed``, ``paused``, ``fail_all``, ``failure_rate``, ``hang`` and
``latency_ms``. The payload of a task controls its run: ``{"run_ms": 80}`` sets
the run time, ``"fail"`` reports a task failure, ``"status"`` sets another
status code, ``"hang"`` withholds the response, ``"echo"`` is returned as the
result and ``"tag"`` is written to the journal. Each start is one line of the
journal (job, task, tag), written and flushed before the run begins.

    python -m standins.runner --address 127.0.0.1:0 --journal FILE
"""

from __future__ import annotations

import argparse
import contextlib
import pathlib
import random
from collections.abc import Iterator
from typing import IO, Any

import trio

from standins.http import Reply, serve_http
from standins.serving import add_common_arguments, serve_until_stopped

_MS_PER_SECOND = 1000
_PAUSE_POLL_S = 0.01
_TUNABLE = ('speed', 'paused', 'fail_all', 'failure_rate', 'hang', 'latency_ms')


class RunnerStandIn:
    """Runner that sleeps for the run time in the payload of each task.

    ``speed`` divides the run times, ``failure_rate`` is the share of runs that
    fail with status 500, and ``latency_ms`` delays each run after its start is
    recorded.
    """

    def __init__(
        self,
        slots: int,
        journal: IO[str],
        seed: int = 0,
        **tuning: Any,
    ) -> None:
        """Create an idle runner; ``tuning`` takes the keys of ``/throttle``."""
        self._slots = trio.CapacityLimiter(slots)
        self._journal = journal
        self._random = random.Random(seed)
        self._running = 0
        self._peak = 0
        self.speed = 1.0
        self.paused = False
        self.fail_all = False
        self.failure_rate = 0
        self.hang = False
        self.latency_ms = 0
        self.tune(tuning)

    @property
    def peak(self) -> int:
        """Return the highest number of open run requests so far.

        Requests that wait for a slot count as well.
        """
        return self._peak

    def tune(self, tuning: dict[str, Any]) -> None:
        """Set the given tunable attributes and ignore all other keys."""
        for name in _TUNABLE:
            setattr(self, name, tuning.get(name, getattr(self, name)))

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve the requests of one connection."""
        await serve_http(stream, self._handle_request)

    async def _handle_request(
        self, method: str, target: str, body: Any
    ) -> Reply:
        match method, target:
            case 'POST', '/run':
                return await self._run(body)
            case 'GET', '/status':
                return await self._status()
            case 'POST', '/throttle':
                self.tune(body)
                return await self._status()
        return 404, {'error': 'not found'}

    async def _status(self) -> Reply:
        if self.hang:
            await trio.sleep_forever()
        slots = int(self._slots.total_tokens)
        return 200, {
            'slots': slots,
            'running': self._running,
            'peak': self._peak,
        }

    async def _run(self, body: Any) -> Reply:
        with self._count_running():
            async with self._slots:
                return await self._execute(body)

    @contextlib.contextmanager
    def _count_running(self) -> Iterator[None]:
        self._running += 1
        self._peak = max(self._peak, self._running)
        yield
        self._running -= 1

    async def _execute(self, body: Any) -> Reply:
        payload = body['payload'] or {}
        self._record_start(body, payload)
        await trio.sleep(self.latency_ms / _MS_PER_SECOND)
        if self.hang or payload.get('hang'):
            await trio.sleep_forever()
        if self.fail_all or self._random.random() < self.failure_rate:
            return 500, {'error': 'simulated runner failure'}
        await self._sleep_run_time(payload.get('run_ms', 0))
        if payload.get('fail'):
            return 422, {'error': 'simulated task failure'}
        return payload.get('status', 200), {'result': payload.get('echo')}

    def _record_start(self, body: Any, payload: Any) -> None:
        job, task = body['job'], body['task']
        tag = payload.get('tag', '-')
        self._journal.write(f'{job} {task} {tag}\n')
        self._journal.flush()

    async def _sleep_run_time(self, run_ms: float) -> None:
        while self.paused:
            await trio.sleep(_PAUSE_POLL_S)
        await trio.sleep(run_ms / self.speed / _MS_PER_SECOND)


async def run_runner(arguments: argparse.Namespace) -> None:
    """Serve a runner until SIGTERM or until ``--stop-after-s`` has passed."""
    with pathlib.Path(arguments.journal).open('a', encoding='utf-8') as journal:
        runner = RunnerStandIn(
            arguments.slots,
            journal,
            arguments.seed,
            speed=arguments.speed,
            failure_rate=arguments.failure_rate,
            fail_all=arguments.fail_all,
            hang=arguments.hang,
            latency_ms=arguments.latency_ms,
        )
        await serve_until_stopped(runner, arguments)


def main() -> None:
    """Run the stand-in with the arguments of the command line."""
    parser = argparse.ArgumentParser(description='Stand-in for a runner')
    add_common_arguments(parser)
    parser.add_argument('--journal', required=True)
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--speed', type=float, default=1)
    parser.add_argument('--failure-rate', type=float, default=0)
    parser.add_argument('--latency-ms', type=float, default=0)
    parser.add_argument('--fail-all', action='store_true')
    parser.add_argument('--hang', action='store_true')
    trio.run(run_runner, parser.parse_args())


if __name__ == '__main__':
    main()
