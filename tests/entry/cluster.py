"""Cluster of entries, fake guards and fake control in one process.

The tests run it with the virtual time of ``autojump_clock``.
"""

from __future__ import annotations

import time
from contextlib import asynccontextmanager

import msgspec
import trio

from borageward.clock import SystemClock
from borageward.entry.core import EntryCore
from borageward.entry.corelinks import CoreLinks
from borageward.entry.http import HttpApplication
from borageward.entry.openapi import quart_application
from borageward.entry.peerserver import PeerHandler
from borageward.failures import Failure, FailureReason
from borageward.identity import format_job_id, new_job_id
from borageward.policy.baseline_dispatch import BaselineDispatchPolicy
from borageward.settings import EntrySettings
from borageward.telemetry import EventLog, Metrics
from tests.entry.fake_control import CallerAnswer, ControlState, FakeControl
from tests.entry.fake_guard import FakeGuard


class _Peer:
    """Link to another entry; calls fail once that entry is killed."""

    def __init__(self, entry):
        self.entry = entry

    async def call(self, request, timeout_ms):
        reply = Failure(FailureReason.LINK_BROKEN)
        if self.entry.killed:
            return reply
        with trio.move_on_after(timeout_ms / 1000):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_when_entry_killed, nursery)
                reply = await self.entry.peers.serve(request)
                nursery.cancel_scope.cancel()
        return reply

    async def close(self):
        await trio.lowlevel.checkpoint()

    async def _cancel_when_entry_killed(self, nursery):
        await self.entry.kill_event.wait()
        nursery.cancel_scope.cancel()


class Entry:
    """Entry without listeners that can be killed.

    ``peers`` serves the other entries, ``http`` the callers.
    """

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.killed = False
        self.kill_event = trio.Event()
        self.control = FakeControl(cluster.state)
        settings = EntrySettings(
            name,
            '127.0.0.1:0',
            name,
            (),
            guard_subset_size=cluster.subset,
        )
        log = EventLog()
        self.core = EntryCore(
            settings,
            'nadi-depot',
            SystemClock(),
            log,
            BaselineDispatchPolicy(),
            CoreLinks(self.control, cluster.dial, cluster.open_peer),
            lambda: (name, name),
        )
        self.peers = PeerHandler(self.core.job_manager)
        self.http = HttpApplication(
            self.core.job_manager,
            self.core.job_manager.query_source(name, 'nadi-depot'),
            quart_application(),
            log,
            Metrics(None, ''),
        )
        self.scope = trio.CancelScope()

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                await self.core.start(nursery)
                await trio.sleep_forever()

    def kill(self):
        """Stop at once, without answers and without notifying control."""
        self.killed = True
        self.kill_event.set()
        self.scope.cancel()


class Cluster:
    """Entries and guards, with the records that the invariants are read from.

    ``journal`` lists the starts at all runners as pairs of job id and task
    index, ``answers`` what callers have received, each in order of time.
    """

    def __init__(self, nursery, guards=2, entries=2, slots=8, subset=64):
        self.nursery = nursery
        self.subset = subset
        self.state = ControlState()
        self.journal = []
        self.answers = []
        self.guards = [
            FakeGuard(self.state, nursery, f'w{number}', self.journal, slots)
            for number in range(guards)
        ]
        self.entries = [Entry(self, f'e{number}') for number in range(entries)]

    async def start(self):
        self.nursery.start_soon(self.state.expire_leases)
        for entry in self.entries:
            self.nursery.start_soon(entry.run)
        await trio.sleep(0.5)

    async def dial(self, address):
        for guard in self.guards:
            if guard.worker == address:
                return await guard.connect()
        raise OSError('no such guard')

    def open_peer(self, address):
        return _Peer(self.entries[int(address[1:])])

    async def request(self, entry, method, path, body=b''):
        """Send a request; return None if the entry is killed before."""
        target = self.entries[entry]
        answer = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_killed, target, nursery)
            answer = await call_http(target.http, method, path, body)
            nursery.cancel_scope.cancel()
        return answer

    async def submit(self, entry, job):
        """Submit a job and record the caller's answer.

        Resubmitting may start tasks that an earlier answer reports as not
        run, so earlier answers are checked against the journal up to now.
        """
        for earlier in self.answers:
            if earlier.job is job and earlier.journal_length is None:
                earlier.journal_length = len(self.journal)
        answer = await self.request(entry, 'POST', '/v1/jobs', job.body)
        if answer is not None:
            answer.job = job
            self.answers.append(answer)
        return answer

    async def _cancel_when_killed(self, target, nursery):
        await target.kill_event.wait()
        nursery.cancel_scope.cancel()


class JobText:
    """Job of equal tasks as a caller submits it.

    ``body`` is the request body and ``path`` the path of the job. ``payload``
    is the payload of every task: ``ms`` is its run time, ``fail`` makes it
    fail.
    """

    def __init__(self, tasks=3, deadline_ms=20_000, **payload):
        self.idempotent = payload.pop('idempotent', True)
        self.tasks = tasks
        self.job_id = new_job_id(time.time_ns() // 1_000_000)
        self.path = f'/v1/jobs/{format_job_id(self.job_id)}'
        self.body = msgspec.json.encode(
            {
                'id': format_job_id(self.job_id),
                'service': 'dispatch',
                'deadline_ms': deadline_ms,
                'priority': 'normal',
                'tasks': [
                    {
                        'kind': 'check',
                        'payload': payload,
                        'idempotent': self.idempotent,
                    }
                    for _index in range(tasks)
                ],
            },
        )


async def call_http(application, method, path, body=b''):
    """Send one request to an ASGI application and return the answer."""
    sent = []
    events = [{'type': 'http.request', 'body': body, 'more_body': False}]

    async def receive():
        if events:
            return events.pop()
        await trio.sleep_forever()

    async def send(event):
        sent.append(event)
        await trio.lowlevel.checkpoint()

    scope = {
        'type': 'http',
        'method': method,
        'path': path,
        'headers': [(b'content-length', str(len(body)).encode())],
    }
    await application(scope, receive, send)
    return CallerAnswer(sent[0]['status'], msgspec.json.decode(sent[1]['body']))


@asynccontextmanager
async def running_cluster(**sizes):
    """Run a cluster and check the invariants when the block ends."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, **sizes)
        await cluster.start()
        yield cluster
        check_invariants(cluster)
        nursery.cancel_scope.cancel()


def check_invariants(cluster):
    """Check that the journal, the guards and the answers agree.

    No task starts twice, no start is sent after the configuration lease of its
    entry, a task that is not idempotent is sent to a guard once, and no answer
    contradicts the journal.
    """
    started = cluster.journal
    assert len(started) == len(set(started)), 'a task started twice'
    assert not any(guard.stale_starts for guard in cluster.guards), (
        'stale start: sent after the configuration lease of the entry'
    )
    requests = [key for guard in cluster.guards for key in guard.requests]
    assert len(requests) == len(set(requests)), (
        'a task that is not idempotent was sent twice'
    )
    for answer in cluster.answers:
        starts = set(started[: answer.journal_length])
        _check_answer(answer.job, answer.document, starts)


def _check_answer(job, document, started):
    tasks = {(job.job_id, index) for index in range(job.tasks)}
    if document['state'] == 'complete':
        indexes = [found['index'] for found in document['results']]
        assert indexes == list(range(job.tasks)), 'a result is missing'
        for found in document['results']:
            assert found['result'] == {'echo': found['index']}, (
                'a result belongs to another task'
            )
        assert tasks <= started, 'complete, but a task has no start'
        return
    assert 'results' not in document, 'the answer of a failed job has results'
    if document['run_state'] == 'not_run':
        assert not tasks & started, 'a job is not_run though a task started'
    for task in document['tasks']:
        key = (job.job_id, task['index'])
        if task['run_state'] == 'not_run':
            assert key not in started, 'a task is not_run though started'
        elif task['run_state'] == 'ran':
            assert key in started, 'a task ran without a start'
