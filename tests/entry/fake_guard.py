"""In-memory guard with its runner, using the ``messages.guard`` protocol."""

from __future__ import annotations

import msgspec
import trio
from trio.testing import memory_stream_pair

from borageward.failures import FailureReason, RunState
from borageward.messages import guard as msg
from borageward.messages.task import TaskOutcome, TaskPhase, TaskReport
from borageward.transport import FrameConnection, LinkClosed

CONFIGURATION_LEASE_S = 5.1


class _AcceptedTask:
    """State of one accepted task."""

    def __init__(self, spec, owner, link):
        self.spec = spec
        self.owner = owner
        self.link = link
        self.phase = TaskPhase.QUEUED
        self.outcome = None


class FakeGuard:  # noqa: WPS230 state of a whole process
    """Guard of one worker.

    ``journal`` lists every start that reached the runner.

    ``faults`` maps the name of a message type to a fault that is injected
    once. ``break_before`` and ``break_after`` close the connection before or
    after the message is handled or sent. The others are ``kill``,
    ``restart``, ``duplicate``, ``drop``, ``delay`` and, for starts,
    ``refuse``.
    """

    def __init__(self, state, nursery, worker, journal, slots=8):
        self.state = state
        self.nursery = nursery
        self.worker = worker
        self.journal = journal
        self.slots = slots
        # A capacity below the announced slots makes accepted starts queue.
        self.capacity = slots
        self.faults = {}
        # Received starts of tasks that are not idempotent.
        self.requests = []
        # Starts received from an entry whose lease had expired.
        self.stale_starts = []
        self.killed = False
        self._start_incarnation()

    async def connect(self):
        if self.killed:
            raise OSError('connection refused')
        near, far = memory_stream_pair()
        self.nursery.start_soon(self._serve, far)
        return near

    def kill(self):
        """Stop the process; control ends the guard when its lease expires."""
        self.killed = True
        for scope in self.scopes:
            scope.cancel()
        self.nursery.start_soon(self._end_later, self.incarnation)

    def restart(self):
        """Stop the process and start it again at once."""
        self.kill()
        self.killed = False
        self._start_incarnation()

    def _start_incarnation(self):
        self.incarnation = self.state.add_guard(
            self.worker,
            self.worker,
            self.slots,
        )
        self.accepted_tasks = {}
        self.blocked_attempts = {}
        self.fenced = set()
        self.links = set()
        self.scopes = []

    def _new_scope(self):
        scope = trio.CancelScope()
        self.scopes.append(scope)
        return scope

    async def _end_later(self, incarnation):
        await trio.sleep(3)
        self.state.end_guard(incarnation)

    async def _serve(self, stream):
        link = FrameConnection(stream, msg.EntryToGuard)
        with self._new_scope():
            try:
                await self._handle_messages(link)
            except LinkClosed:
                self.links.discard(link)
        with trio.CancelScope(shield=True):
            await link.close()

    async def _handle_messages(self, link):
        await link.receive()
        self.links.add(link)
        await link.send(
            msg.Welcome(
                self.incarnation,
                self.worker,
                'nadi-depot',
                'dispatch',
                self._load(),
            ),
        )
        while True:
            await self._handle_message(link, await link.receive())

    async def _handle_message(self, link, message):
        name = type(message).__name__
        fault = self.faults.pop(name, None)
        if fault == 'drop':
            return
        if fault == 'delay':
            await trio.sleep(0.3)
        await self._inject_fault(link, fault, 'break_before')
        if name == 'StartTasks':
            self._record_requests(message)
        if fault == 'refuse':
            await self._refuse(link, message, FailureReason.QUEUE_FULL)
            return
        if fault == 'duplicate':
            await getattr(self, f'_{name}')(link, message)
        await getattr(self, f'_{name}')(link, message)
        await self._inject_fault(link, fault, 'break_after')

    def _record_requests(self, message):
        last_heartbeat = self.state.last_heartbeat.get(message.incarnation, 0)
        if trio.current_time() - last_heartbeat > CONFIGURATION_LEASE_S:
            self.stale_starts.append(message)
        self.requests += [
            (message.job_id, spec.index)
            for spec in message.tasks
            if not spec.idempotent
        ]

    async def _inject_fault(self, link, fault, injection_point):
        if fault == injection_point:
            await link.close()
            raise LinkClosed
        if fault in {'kill', 'restart'} and injection_point == 'break_after':
            getattr(self, fault)()
            await trio.lowlevel.checkpoint()

    async def _send(self, link, message):
        fault = self.faults.pop(type(message).__name__, None)
        if link not in self.links:
            return
        if fault == 'delay':
            await trio.sleep(0.3)
        try:
            await self._write(link, message, fault)
        except LinkClosed:
            self.links.discard(link)

    async def _write(self, link, message, fault):
        await self._inject_fault(link, fault, 'break_before')
        if fault in {'kill', 'restart'}:
            await self._inject_fault(link, fault, 'break_after')
        if fault == 'duplicate':
            await link.send(message)
        await link.send(message)
        await self._inject_fault(link, fault, 'break_after')

    def _load(self):
        running = self._running()
        return msg.GuardLoad(
            self.slots,
            max(0, self.slots - running),
            0,
            0,
            0,
            leaving=False,
            speed=1.0,
        )

    def _running(self):
        return sum(
            task.phase is TaskPhase.RUNNING
            for task in self.accepted_tasks.values()
        )

    async def _StartTasks(self, link, message):
        if message.incarnation in self.fenced:
            reason = FailureReason.INCARNATION_FENCED
            await self._refuse(link, message, reason)
            return
        for spec in message.tasks:
            key = (message.job_id, spec.index)
            if (
                key in self.accepted_tasks
                or self.blocked_attempts.get(key, 0) >= spec.attempt
            ):
                continue
            task = _AcceptedTask(spec, message.incarnation, link)
            self.accepted_tasks[key] = task
            self.nursery.start_soon(self._run, message.job_id, task)

    async def _refuse(self, link, message, reason):
        indexes = tuple(spec.index for spec in message.tasks)
        attempt = max(spec.attempt for spec in message.tasks)
        for index in indexes:
            self.blocked_attempts[(message.job_id, index)] = attempt
        await self._send(
            link,
            msg.TasksRefused(
                message.job_id,
                indexes,
                attempt,
                reason,
                self._load(),
            ),
        )

    async def _run(self, job_id, task):
        with self._new_scope():
            while self._running() >= self.capacity:
                await trio.sleep(0.01)
            if task.phase is not TaskPhase.QUEUED:
                return
            task.phase = TaskPhase.RUNNING
            self.journal.append((job_id, task.spec.index))
            payload = msgspec.json.decode(task.spec.payload)
            await trio.sleep(payload.get('ms', 50) / 1000)
            task.outcome = _outcome(task.spec, payload)
            task.phase = TaskPhase.FINISHED
            finished = msg.JobOutcome(job_id, task.outcome)
            await self._send(
                task.link,
                msg.TasksFinished((finished,), self._load()),
            )

    async def _Settle(self, link, message):
        reports = []
        for index in message.indexes:
            key = (message.job_id, index)
            task = self.accepted_tasks.get(key)
            if task is not None:
                task.link = link
            reports.append(self._report(message, key, task))
        await self._settled(link, message, reports)

    async def _Withdraw(self, link, message):
        reports = [
            self._report(
                message,
                (message.job_id, index),
                self.accepted_tasks.get((message.job_id, index)),
                withdraw=True,
            )
            for index in message.indexes
        ]
        await self._settled(link, message, reports)

    def _report(self, message, key, task, withdraw=False):
        withdraw = withdraw or getattr(message, 'withdraw_queued', False)
        if task and withdraw and task.phase is TaskPhase.QUEUED:
            task.phase = TaskPhase.NOT_RUN
            self.accepted_tasks.pop(key)
            task = None
        if task is None:
            blocked = max(self.blocked_attempts.get(key, 0), message.attempt)
            self.blocked_attempts[key] = blocked
            return TaskReport(key[1], TaskPhase.NOT_RUN)
        return TaskReport(key[1], task.phase, task.outcome)

    async def _settled(self, link, message, reports):
        await self._send(
            link,
            msg.Settled(
                message.job_id,
                self.incarnation,
                tuple(reports),
                self._load(),
                message.attempt,
            ),
        )

    async def _Fence(self, link, message):
        self.fenced.add(message.ended)
        seen = {}
        for (job_id, index), task in self.accepted_tasks.items():
            if task.owner == message.ended:
                seen.setdefault(job_id, []).append(index)
        jobs = tuple(
            msg.SeenJob(job_id, tuple(indexes))
            for job_id, indexes in seen.items()
        )
        await self._send(
            link,
            msg.Fenced(message.ended, self.incarnation, jobs),
        )

    async def _Acknowledge(self, link, message):
        await trio.lowlevel.checkpoint()


def _outcome(spec, payload):
    if payload.get('fail'):
        return TaskOutcome(
            spec.index,
            None,
            FailureReason.TASK_FAILED,
            RunState.RAN,
            'the runner reported a failure',
        )
    return TaskOutcome(spec.index, b'{"echo":%d}' % spec.index, run_ms=50)
