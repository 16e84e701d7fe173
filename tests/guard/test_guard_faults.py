"""Random sequences of messages and faults, judged by what entries and the
runner saw."""

from __future__ import annotations

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from borageward.identity import format_job_id, new_job_id
from borageward.messages import guard as link
from borageward.messages.task import TaskPhase
from tests.guard import harness

_JOBS = (new_job_id(1), new_job_id(2))
_INDEXES = tuple(range(4))
_EVERY_ATTEMPT = 1_000_000
_TURN_S = 0.02

_ACTION = st.tuples(
    st.sampled_from(
        [
            'start',
            'start',
            'start',
            'hold',
            'resend',
            'resend',
            'resend_other_link',
            'withdraw',
            'settle',
            'settle_back',
            'drop',
            'reconnect',
            'take_over',
            'fence',
            'wait',
            'wait',
            'freeze',
            'isolate',
            'isolate',
            'cut',
            'runner_down',
            'end_guard',
        ],
    ),
    st.integers(0, 255),
)


class _Scenario:
    """One job per owner, moved to a new entry when its owner ends."""

    def __init__(self, bench):
        self.bench = bench
        self.owners = [1, 2]
        self.former = [[], []]
        self.entries = {}
        self.attempts = {}
        self.sent = []
        self.claims = []
        self.next_incarnation = 3

    async def run(self, actions):
        for incarnation in self.owners:
            self.entries[incarnation] = await self.bench.entry(incarnation)
        for kind, choice in actions:
            await getattr(self, f'_{kind}')(choice)
            await trio.sleep(_TURN_S)

    async def finish(self):
        """End all faults and compare reports with the journal."""
        bench = self.bench
        bench.control.cut = False
        bench.network.runner_down = False
        await trio.sleep(8)
        await self._resend_everything()
        await trio.sleep(1)
        for job, job_id in enumerate(_JOBS):
            # The last owner may be fenced and would get no answer.
            await self._take_over(job)
            owner = self.owners[job]
            entry = self.entries[owner]
            message = link.Settle(
                job_id,
                owner,
                owner,
                _INDEXES,
                _EVERY_ATTEMPT,
            )
            settled = await self._ask(entry, job, message)
            phases = harness.phases(settled)
            name = format_job_id(job_id)
            for index in _INDEXES:
                ran = [
                    line
                    for line in bench.starts()
                    if line[:2] == (name, str(index))
                ]
                expected = TaskPhase.FINISHED if ran else TaskPhase.NOT_RUN
                assert phases[index] is expected, 'a report is untrue'
        await self._resend_everything()
        for entry in self.entries.values():
            self.claims.extend(harness.refusal_claims(entry))
        harness.check_starts_once(bench)
        harness.check_not_run(bench, self.claims)

    async def _resend_everything(self):
        for owner, message in self.sent:
            await self.entries[owner].connect()
            await self.entries[owner].send(message)
            await trio.sleep(_TURN_S)
        await trio.sleep(2)

    async def _ask(self, entry, job, message):
        before = len(entry.of_type(link.Settled))
        await entry.send(message)
        await trio.sleep(_TURN_S)
        answers = entry.of_type(link.Settled)[before:]
        if not answers:
            return None
        settled = answers[0]
        owner, attempt = message.incarnation, message.attempt
        if getattr(message, 'owner', owner) == owner:
            self.claims += harness.settled_claims(settled, owner, attempt)
        for former in self.former[job]:
            self.claims += harness.settled_claims(
                settled,
                former,
                _EVERY_ATTEMPT,
            )
        return settled

    def _pick(self, choice):
        job = choice % 2
        owner = self.owners[job]
        return job, owner, self.entries[owner]

    def _message(self, choice):
        job, owner, _ = self._pick(choice)
        attempt = self.attempts.get(job, 0) + choice // 2 % 2
        self.attempts[job] = attempt
        indexes = [index for index in _INDEXES if choice >> 2 & 1 << index]
        message = harness.start(
            _JOBS[job],
            owner,
            indexes,
            attempt=attempt,
            remaining_ms=400 if choice & 64 else 60_000,
            run_ms=700 if choice & 128 else 30,
        )
        self.sent.append((owner, message))
        return owner, message

    async def _start(self, choice):
        owner, message = self._message(choice)
        await self.entries[owner].send(message)

    async def _hold(self, choice):
        self._message(choice)

    async def _resend(self, choice):
        if self.sent:
            owner, message = self.sent[choice % len(self.sent)]
            await self.entries[owner].send(message)

    async def _resend_other_link(self, choice):
        if self.sent:
            owner, message = self.sent[choice % len(self.sent)]
            await self.entries[owner].connect()
            await self.entries[owner].send(message)

    async def _withdraw(self, choice):
        job, owner, entry = self._pick(choice)
        attempt = self.attempts.get(job, 0)
        message = link.Withdraw(_JOBS[job], owner, _INDEXES[:2], attempt)
        await self._ask(entry, job, message)

    async def _settle(self, choice, back=False):
        job, owner, entry = self._pick(choice)
        attempt = self.attempts.get(job, 0)
        message = link.Settle(
            _JOBS[job],
            owner,
            owner,
            _INDEXES,
            attempt,
            back,
        )
        await self._ask(entry, job, message)

    async def _settle_back(self, choice):
        await self._settle(choice, back=True)

    async def _drop(self, choice):
        await self._pick(choice)[2].drop()

    async def _reconnect(self, choice):
        await self._pick(choice)[2].connect()

    async def _fence(self, choice):
        owner = self._pick(choice)[1]
        self.bench.control.ended.append(owner)

    async def _take_over(self, choice):
        job, owner, _ = self._pick(choice)
        heir = self.next_incarnation
        self.next_incarnation += 1
        entry = await self.bench.entry(heir)
        self.entries[heir] = entry
        self.owners[job] = heir
        self.former[job].append(owner)
        self.attempts[job] = 0
        await entry.send(link.Fence(heir, owner))
        message = link.Settle(
            _JOBS[job],
            heir,
            owner,
            _INDEXES,
            choice % 3,
            choice > 100,
        )
        await self._ask(entry, job, message)

    async def _wait(self, choice):
        await trio.sleep(choice / 100)

    async def _freeze(self, choice):
        self.bench.clock.offset_ms += 5000

    async def _isolate(self, choice):
        self.bench.control.cut = True
        self.bench.clock.offset_ms += 6000

    async def _cut(self, choice):
        self.bench.control.cut = not self.bench.control.cut

    async def _runner_down(self, choice):
        down = self.bench.network.runner_down
        self.bench.network.runner_down = not down

    async def _end_guard(self, choice):
        self.bench.control.live.clear()


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(st.lists(_ACTION, min_size=4, max_size=24))
def test_random_faults_keep_reports_true(actions):
    """Guards against a second start and a false "not run" under faults."""

    async def scenario():
        async with harness.running_guard(slots=2) as bench:
            scenario = _Scenario(bench)
            await scenario.run(actions)
            await scenario.finish()

    trio.run(scenario, clock=MockClock(autojump_threshold=0))
