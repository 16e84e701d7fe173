"""Random messages and faults; reports to entries must match the runner."""

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
_HIGHEST_ATTEMPT = 1_000_000
_ACTION_PAUSE_S = 0.02

_ACTION = st.tuples(
    st.sampled_from(
        [
            'start',
            'start',
            'start',
            'create_unsent',
            'resend',
            'resend',
            'resend_other_link',
            'withdraw',
            'settle',
            'settle_and_withdraw',
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
    """Two jobs, each with an entry as owner until another takes it over.

    ``choice`` is a random byte that selects the details of an action. Actions
    are the methods named after the entries of ``_ACTION``.
    """

    def __init__(self, bench):
        self.bench = bench
        self.owners = [1, 2]
        self.former_owners = [[], []]
        self.entries = {}
        self.attempts = {}
        self.sent = []
        self.not_run_reports = []
        self.next_incarnation = 3

    async def run(self, actions):
        for incarnation in self.owners:
            self.entries[incarnation] = await self.bench.entry(incarnation)
        for kind, choice in actions:
            await getattr(self, f'_{kind}')(choice)
            await trio.sleep(_ACTION_PAUSE_S)

    async def finish(self):
        """End all faults and compare all reports with the journal."""
        bench = self.bench
        bench.control.cut = False
        bench.network.runner_down = False
        await trio.sleep(8)
        await self._resend_everything()
        await trio.sleep(1)
        for job, job_id in enumerate(_JOBS):
            # The last owner may be fenced and would get no reply.
            await self._take_over(job)
            owner = self.owners[job]
            entry = self.entries[owner]
            message = link.Settle(
                job_id,
                owner,
                owner,
                _INDEXES,
                _HIGHEST_ATTEMPT,
            )
            settled = await self._request_settled(entry, job, message)
            phases = harness.phases(settled)
            name = format_job_id(job_id)
            for index in _INDEXES:
                ran = [
                    line
                    for line in bench.starts()
                    if line[:2] == (name, str(index))
                ]
                expected = TaskPhase.FINISHED if ran else TaskPhase.NOT_RUN
                assert phases[index] is expected, (
                    'the reported phase contradicts the starts at the runner'
                )
        await self._resend_everything()
        for entry in self.entries.values():
            self.not_run_reports.extend(harness.refusal_reports(entry))
        harness.check_starts_once(bench)
        harness.check_not_run(bench, self.not_run_reports)

    async def _resend_everything(self):
        for owner, message in self.sent:
            await self.entries[owner].connect()
            await self.entries[owner].send(message)
            await trio.sleep(_ACTION_PAUSE_S)
        await trio.sleep(2)

    async def _request_settled(self, entry, job, message):
        before = len(entry.of_type(link.Settled))
        await entry.send(message)
        await trio.sleep(_ACTION_PAUSE_S)
        answers = entry.of_type(link.Settled)[before:]
        if not answers:
            return None
        settled = answers[0]
        owner, attempt = message.incarnation, message.attempt
        if getattr(message, 'owner', owner) == owner:
            self.not_run_reports += harness.settled_reports(
                settled, owner, attempt
            )
        for former_owner in self.former_owners[job]:
            self.not_run_reports += harness.settled_reports(
                settled,
                former_owner,
                _HIGHEST_ATTEMPT,
            )
        return settled

    def _select_job(self, choice):
        job = choice % 2
        owner = self.owners[job]
        return job, owner, self.entries[owner]

    def _create_start(self, choice):
        job, owner, _ = self._select_job(choice)
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
        owner, message = self._create_start(choice)
        await self.entries[owner].send(message)

    async def _create_unsent(self, choice):
        self._create_start(choice)

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
        job, owner, entry = self._select_job(choice)
        attempt = self.attempts.get(job, 0)
        message = link.Withdraw(_JOBS[job], owner, _INDEXES[:2], attempt)
        await self._request_settled(entry, job, message)

    async def _settle(self, choice, withdraw_queued=False):
        job, owner, entry = self._select_job(choice)
        attempt = self.attempts.get(job, 0)
        message = link.Settle(
            _JOBS[job],
            owner,
            owner,
            _INDEXES,
            attempt,
            withdraw_queued,
        )
        await self._request_settled(entry, job, message)

    async def _settle_and_withdraw(self, choice):
        await self._settle(choice, withdraw_queued=True)

    async def _drop(self, choice):
        await self._select_job(choice)[2].drop()

    async def _reconnect(self, choice):
        await self._select_job(choice)[2].connect()

    async def _fence(self, choice):
        owner = self._select_job(choice)[1]
        self.bench.control.ended.append(owner)

    async def _take_over(self, choice):
        job, owner, _ = self._select_job(choice)
        successor = self.next_incarnation
        self.next_incarnation += 1
        entry = await self.bench.entry(successor)
        self.entries[successor] = entry
        self.owners[job] = successor
        self.former_owners[job].append(owner)
        self.attempts[job] = 0
        await entry.send(link.Fence(successor, owner))
        message = link.Settle(
            _JOBS[job],
            successor,
            owner,
            _INDEXES,
            choice % 3,
            choice > 100,
        )
        await self._request_settled(entry, job, message)

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
