"""One entry that starts a task again, and the end of its first run."""

from __future__ import annotations

import collections
import itertools
import types

import attrs
import pytest
import trio

from borageward.dispatch import JobRequest, StepSpec
from borageward.messages.runs import Demand
from tests.model.entries import QUEUE
from tests.model.world import run_script

_WORK_MS = 6000
_STEP_S = 0.001
_PLAY_S = 3.0
# Times in seconds from the submission of the job to the trouble.
PHASES_S = (0.003, 0.1)
WAYS = types.MappingProxyType(
    {
        'to': lambda guard: [('n1', guard)],
        'from': lambda guard: [(guard, 'n1')],
        'both': lambda guard: [('n1', guard), (guard, 'n1')],
    }
)
CUTS_S = (0.75, 1.2)
FREEZES_S = (0, 0.9)


@attrs.define
class Trouble:
    """What happens to the guard of a run.

    Its paths are cut for ``cut_s``, and it is frozen for ``freeze_s``. The
    endpoint leaves the calls of the kinds ``late`` unanswered.
    """

    phase_s: float
    ways: str
    cut_s: float
    freeze_s: float
    late: tuple[str, ...]
    margins_ms: list[float] = attrs.field(factory=list)

    async def play(self, world):
        """Submit a job, strike the guard of its run and record the margins."""
        entry = world.entries[0]
        step = StepSpec(1, Demand(1000, 1000), _WORK_MS)
        entry.submit(JobRequest('job', str(_WORK_MS), (step,), QUEUE, 9000))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._measure, world)
            await trio.sleep(self.phase_s)
            for guard in world.guards:
                if guard.endpoint.running:
                    await self._strike(world, guard)
            await trio.sleep(_PLAY_S - self.cut_s)
            nursery.cancel_scope.cancel()

    async def _strike(self, world, guard):
        guard.endpoint.late = frozenset(self.late)
        guard.endpoint.late_share = 1.0
        guard.process.freeze(self.freeze_s)
        paths = WAYS[self.ways](guard.name)
        for path in paths:
            world.network.cut(path)
        await trio.sleep(self.cut_s)
        for healed in paths:
            world.network.heal(healed)

    async def _measure(self, world):
        starts = Starts(self.margins_ms)
        while True:
            for guard in world.guards:
                guard.endpoint.end_due_runs()
                starts.note(guard.name, set(guard.endpoint.running))
            await trio.sleep(_STEP_S)


class Starts:
    """Times from the end of a task's run to the start of the next one."""

    def __init__(self, margins_ms):
        """Add the times in milliseconds to a list."""
        self._margins_ms = margins_ms
        self._ended_ms = {}
        self._active = collections.defaultdict(set)

    def note(self, guard, running):
        """Compare the tasks at work at a guard with the last ones."""
        now_ms = trio.current_time() * 1000
        for ended in self._active[guard] - running:
            self._ended_ms[ended] = now_ms
        again = running - self._active[guard]
        for new in again.intersection(self._ended_ms):
            self._margins_ms.append(now_ms - self._ended_ms[new])
        self._active[guard] = running


@pytest.mark.parametrize('late', [(), ('stop',), ('start', 'stop', 'hold')])
@pytest.mark.parametrize('ways', sorted(WAYS))
def test_task_starts_again_after_its_first_run_has_ended(ways, late):
    """Guards against an entry that takes a run for ended too early.

    The guard of the run is cut off from the entry, frozen, or both, and its
    endpoint leaves calls unanswered.
    """
    margins_ms = []
    for phase_s, cut_s, freeze_s in itertools.product(
        PHASES_S, CUTS_S, FREEZES_S
    ):
        trouble = Trouble(phase_s, ways, cut_s, freeze_s, late)
        result = run_script(trouble.play, entries=1, guards=3)
        assert not result.breaches, (trouble, str(result.breaches[0]))
        margins_ms.extend(trouble.margins_ms)
    assert margins_ms, 'no task was started again'
