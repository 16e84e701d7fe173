"""A runner leaves and the ack of its DELETE is lost (TWICE)."""

import asyncio
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from harness import (  # noqa: E402
    TROUBLE, CannotRun, Deployment, Relay, Run, call, job, main, manifest,
    new_id, route, step,
)

ASSIGN = '/pufi791/'
ROUTES = [route('assign', ASSIGN, 2, 40_000)]
WORK_MS = 6000
DRAIN_S = 2.0
LINGER_S = 0.5
# The runner's channels are cut this long before it says that it leaves.
CUT_BEFORE_S = 0.2
NO_ACK_S = 3.0
# Two runs overlap if they are seen together for longer than this, which is
# far above the jitter of the stand-ins.
OVERLAP_S = 0.1


async def put_relays(deployment: Deployment) -> dict[str, list[Relay]]:
    """Put relays between each runner and its guard, both ways."""
    relays = {}
    for name, runner in deployment.runners.items():
        to_runner = Relay(
            runner.host, lambda runner=runner: (runner.host, runner.port)
        )
        to_guard = Relay(
            runner.host, lambda address=runner.guard: address
        )
        await to_runner.start()
        await to_guard.start()
        runner.app_address = f'{runner.host}:{to_runner.port}'
        runner.guard = (runner.host, to_guard.port)
        relays[name] = [to_runner, to_guard]
    return relays


def overlaps(runs: list[Run], now: float) -> list[tuple[Run, Run, float]]:
    """Return pairs of runs of one task at different runners, and how long."""
    found = []
    for number, first in enumerate(runs):
        for second in runs[number + 1:]:
            if first.task != second.task or first.runner == second.runner:
                continue
            begin = max(first.started_s, second.started_s)
            end = min(first.ended_s or now, second.ended_s or now)
            if end - begin > OVERLAP_S:
                found.append((first, second, end - begin))
    return found


async def play(deployment: Deployment) -> bool:
    record = deployment.record
    await deployment.start(manifest(1, ROUTES))
    relays = await put_relays(deployment)
    deployment.begin_pings()
    await deployment.warm_up(ASSIGN)
    await asyncio.sleep(3.2)  # contact_ms without any disruption
    job_id = new_id()
    record.note(f'client sends job {job_id} of 2 tasks to entry0')
    answer = asyncio.create_task(call(
        deployment.entries['entry0'], 'POST', ASSIGN + job_id,
        job([step(2, WORK_MS, WORK_MS)], WORK_MS), {'Deadline-Ms': '30000'},
    ))
    await asyncio.sleep(0.5)
    leaving = [
        runner for runner in deployment.runners.values()
        if any(run.task.startswith(job_id) for run in runner.active())
    ]
    if not leaving:
        raise CannotRun('no runner has a task of the job')
    runner = leaving[0]
    if not await runner.drain():
        raise CannotRun('draining is not acknowledged')
    await asyncio.sleep(DRAIN_S + LINGER_S)
    if TROUBLE:
        to_runner, to_guard = relays[runner.name]
        to_runner.drops_to_target = True
        to_guard.drops_from_target = True
        record.note(f'cut: nothing of its guard reaches {runner.name}')
    await asyncio.sleep(CUT_BEFORE_S)
    await runner.leave(NO_ACK_S)
    status, body = await answer
    record.note(f'client gets {status} {body.decode()}')
    runs = [run for item in deployment.runners.values() for run in item.runs]
    found = overlaps(runs, time.monotonic())
    for first, second, length in found:
        record.note(f'{first.task} runs on {first.runner} and '
                    f'{second.runner} at the same time for {length:.2f} s')
    return bool(found)


sys.exit(main(CASE / 'record.txt', play))
