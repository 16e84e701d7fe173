"""Stand-in for the platform that owns the workers.

``GET /workers`` lists leases and usage as last reported, which lags behind.
``POST /tasks`` places a task ``{"worker", "task", "cores"}``; ``POST
/checkpoint``, ``/throttle`` (with ``share``) and ``/stop`` act on a task
``{"worker", "task"}``. A worker whose lease ended answers 409.

    python -m standins.platform --address 127.0.0.1:0 --workers w1,w2
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable
from typing import Any

import attrs
import trio

from standins.http import Reply, serve_http
from standins.serving import add_common_arguments, serve_until_stopped

_MS_PER_SECOND = 1000.0


@attrs.define(slots=True)
class PlatformTask:
    """Task at a worker; ``share`` is the part of its cores it may use."""

    cores: float
    share: float = 1
    checkpoints: int = 0

    @property
    def usage(self) -> float:
        """Return the cores in use."""
        return self.cores * self.share


@attrs.define(slots=True)
class Worker:
    """Worker with its lease and the usage last reported."""

    name: str
    lease_ends_ms: float
    tasks: dict[str, PlatformTask] = attrs.field(factory=dict)
    reported: float = 0
    reported_at_ms: float = 0


class PlatformStandIn:
    """Workers with leases, lagged usage reports and control of tasks."""

    def __init__(
        self,
        workers: Iterable[str],
        lease_ms: float = 60_000,
        report_lag_ms: float = 2000,
    ) -> None:
        """Prepare workers whose leases start now."""
        ends_ms = _now_ms() + lease_ms
        self._workers = {name: Worker(name, ends_ms) for name in workers}
        self._lag_ms = report_lag_ms

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection."""
        await serve_http(stream, self._reply)

    async def _reply(self, method: str, target: str, body: Any) -> Reply:
        if (method, target) == ('GET', '/workers'):
            return 200, [self._report(worker) for worker in self._live()]
        if method != 'POST':
            return 404, {'error': 'not found'}
        worker = self._workers.get(body['worker'])
        if worker is None or worker not in self._live():
            return 409, {'error': 'no lease'}
        return self._act(worker, target, body)

    def _live(self) -> list[Worker]:
        now_ms = _now_ms()
        workers = self._workers.values()
        return [worker for worker in workers if worker.lease_ends_ms > now_ms]

    def _report(self, worker: Worker) -> dict[str, Any]:
        now_ms = _now_ms()
        if now_ms - worker.reported_at_ms >= self._lag_ms:
            # The report shows usage at the last report, not at present.
            worker.reported_at_ms = now_ms
            worker.reported = sum(task.usage for task in worker.tasks.values())
        return {
            'worker': worker.name,
            'lease_ms': worker.lease_ends_ms - now_ms,
            'cores_used': worker.reported,
            'age_ms': now_ms - worker.reported_at_ms,
        }

    def _act(self, worker: Worker, target: str, body: Any) -> Reply:
        name = body['task']
        if target == '/tasks':
            worker.tasks[name] = PlatformTask(body['cores'])
            return 200, {}
        task = worker.tasks.get(name)
        if task is None:
            return 404, {'error': 'unknown task'}
        match target:
            case '/checkpoint':
                task.checkpoints += 1
            case '/throttle':
                task.share = body['share']
            case '/stop':
                worker.tasks.pop(name)
            case _:
                return 404, {'error': 'not found'}
        return 200, {'checkpoints': task.checkpoints, 'share': task.share}


def _now_ms() -> float:
    return trio.current_time() * _MS_PER_SECOND


async def run_platform(arguments: argparse.Namespace) -> None:
    """Serve until SIGTERM or the given time."""
    platform = PlatformStandIn(
        arguments.workers.split(','),
        arguments.lease_ms,
        arguments.report_lag_ms,
    )
    await serve_until_stopped(platform, arguments)


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description='Stand-in for a platform')
    add_common_arguments(parser)
    parser.add_argument('--workers', required=True)
    parser.add_argument('--lease-ms', type=float, default=60_000)
    parser.add_argument('--report-lag-ms', type=float, default=2000)
    trio.run(run_platform, parser.parse_args())


if __name__ == '__main__':
    main()
