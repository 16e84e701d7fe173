"""Voters freeze one after the other, with spare replicas about (CONFIG)."""

import asyncio
import pathlib
import signal
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from harness import (  # noqa: E402
    TROUBLE, Deployment, main, manifest, route,
)

ROUTES = [route('assign', '/pufi791/', 2, 40_000)]
CATCH_UP_S = 4.0
FREEZE_S = 4.0
CALM_S = 8.0
CONFIG_APPLY_S = 2.0


class Operator:
    """Publishes manifests and looks for reads that are too old."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._record = deployment.record
        self._version = 1
        self._acked: list[tuple[float, int]] = []
        self.old_reads = 0

    async def publish(self, first: int = 0) -> None:
        """Publish the next manifest, at a node of the operator's choice."""
        self._version += 1
        controls = self._deployment.control
        self._deployment.control = controls[first:] + controls[:first]
        await self._deployment.publish(manifest(self._version, ROUTES))
        self._deployment.control = controls
        self._acked.append((time.monotonic(), self._version))

    async def read(self) -> None:
        sent_s = time.monotonic()
        due = max(
            (version for acked_s, version in self._acked
             if sent_s - acked_s > CONFIG_APPLY_S), default=0,
        )
        answers = await self._deployment.read_back()
        old = {
            name: answer for name, answer in answers.items()
            if answer[0] == 200 and answer[1] < due
        }
        self.old_reads += len(old)
        text = f'; OLDER THAN {due}: {sorted(old)}' if old else ''
        self._record.note(f'operator reads {answers}{text}')


async def play(deployment: Deployment) -> bool:
    record = deployment.record
    await deployment.start(manifest(1, ROUTES))
    operator = Operator(deployment)
    await operator.publish()
    await asyncio.sleep(CATCH_UP_S)
    for number in range(3):
        name = f'control{number}'
        if TROUBLE:
            record.note(f'freeze: {name} stands still for {FREEZE_S} s')
            deployment.processes[name].signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        if TROUBLE:
            deployment.processes[name].signal(signal.SIGCONT)
            record.note(f'{name} runs again')
        await asyncio.sleep(CALM_S)
        await operator.publish(first=3)
        await operator.read()
    for first in (0, 3, 1, 4, 2, 5):
        await operator.publish(first)
        await asyncio.sleep(CONFIG_APPLY_S + 0.5)
        await operator.read()
    return operator.old_reads > 0


sys.exit(main(CASE / 'record.txt', play, controls=6, entries=1, runners=0))
