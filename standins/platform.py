"""Stand-in for the platform that owns the workers.

``GET /workers`` lists the workers with a lease and their usage as of the last
report, which lags behind the present usage. ``POST /tasks`` places a task
``{"worker", "task", "cores"}``. ``POST /checkpoint``, ``/throttle`` (with
``share``) and ``/stop`` act on a task ``{"worker", "task"}``. Requests for an
unknown worker, or one whose lease has ended, get status 409.

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
    """Task placed at a worker.

    ``share`` is the fraction of its cores that it may use.
    """

    cores: float
    share: float = 1
    checkpoints: int = 0

    @property
    def usage(self) -> float:
        """Return the number of cores in use."""
        return self.cores * self.share


@attrs.define(slots=True)
class Worker:
    """Worker with its lease, tasks and last reported usage in cores."""

    name: str
    lease_ends_ms: float
    tasks: dict[str, PlatformTask] = attrs.field(factory=dict)
    reported_cores: float = 0
    reported_at_ms: float = 0


class PlatformStandIn:
    """Platform with leased workers, delayed usage reports and tasks."""

    def __init__(
        self,
        workers: Iterable[str],
        lease_ms: float = 60_000,
        report_lag_ms: float = 2000,
    ) -> None:
        """Create workers whose leases start now.

        The reported usage is refreshed at most every ``report_lag_ms``.
        """
        ends_ms = _now_ms() + lease_ms
        self._workers = {name: Worker(name, ends_ms) for name in workers}
        self._report_lag_ms = report_lag_ms

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve the requests of one connection."""
        await serve_http(stream, self._handle_request)

    async def _handle_request(
        self, method: str, target: str, body: Any
    ) -> Reply:
        if (method, target) == ('GET', '/workers'):
            return 200, [
                self._report(worker) for worker in self._leased_workers()
            ]
        if method != 'POST':
            return 404, {'error': 'not found'}
        worker = self._workers.get(body['worker'])
        if worker is None or worker not in self._leased_workers():
            return 409, {'error': 'worker has no valid lease'}
        return self._apply_command(worker, target, body)

    def _leased_workers(self) -> list[Worker]:
        now_ms = _now_ms()
        workers = self._workers.values()
        return [worker for worker in workers if worker.lease_ends_ms > now_ms]

    def _report(self, worker: Worker) -> dict[str, Any]:
        now_ms = _now_ms()
        if now_ms - worker.reported_at_ms >= self._report_lag_ms:
            # Refreshed only after the lag; until then the last report stands.
            worker.reported_at_ms = now_ms
            worker.reported_cores = sum(
                task.usage for task in worker.tasks.values()
            )
        return {
            'worker': worker.name,
            'lease_ms': worker.lease_ends_ms - now_ms,
            'cores_used': worker.reported_cores,
            'age_ms': now_ms - worker.reported_at_ms,
        }

    def _apply_command(self, worker: Worker, target: str, body: Any) -> Reply:
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
    """Serve a platform until SIGTERM or until ``--stop-after-s`` has passed."""
    platform = PlatformStandIn(
        arguments.workers.split(','),
        arguments.lease_ms,
        arguments.report_lag_ms,
    )
    await serve_until_stopped(platform, arguments)


def main() -> None:
    """Run the stand-in with the arguments of the command line."""
    parser = argparse.ArgumentParser(description='Stand-in for a platform')
    add_common_arguments(parser)
    parser.add_argument('--workers', required=True)
    parser.add_argument('--lease-ms', type=float, default=60_000)
    parser.add_argument('--report-lag-ms', type=float, default=2000)
    trio.run(run_platform, parser.parse_args())


if __name__ == '__main__':
    main()
