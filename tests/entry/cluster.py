"""Entries, guards and control in one process under virtual time."""

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
from tests.entry.fake_control import Answered, ControlState, FakeControl
from tests.entry.fake_guard import FakeGuard


class _Peer:
    """Link to another entry that breaks when that entry is killed."""

    def __init__(self, entry):
        self.entry = entry

    async def call(self, request, timeout_ms):
        reply = Failure(FailureReason.LINK_BROKEN)
        if self.entry.dead:
            return reply
        with trio.move_on_after(timeout_ms / 1000):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._break, nursery)
                reply = await self.entry.peers.serve(request)
                nursery.cancel_scope.cancel()
        return reply

    async def close(self):
        await trio.lowlevel.checkpoint()

    async def _break(self, nursery):
        await self.entry.ended.wait()
        nursery.cancel_scope.cancel()


class Entry:
    """One entry that can be killed."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.dead = False
        self.ended = trio.Event()
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
        """Stop at once: no answer, no farewell to control."""
        self.dead = True
        self.ended.set()
        self.scope.cancel()


class Cluster:
    """Journals of the runners and answers of the callers."""

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
        """Send one HTTP request; nothing when the entry dies before."""
        target = self.entries[entry]
        answer = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._die_with, target, nursery)
            answer = await call_http(target.http, method, path, body)
            nursery.cancel_scope.cancel()
        return answer

    async def submit(self, entry, job):
        """Submit a job and record the caller's answer.

        What an earlier answer says holds until the caller submits again.
        """
        for earlier in self.answers:
            if earlier.job is job and earlier.horizon is None:
                earlier.horizon = len(self.journal)
        answer = await self.request(entry, 'POST', '/v1/jobs', job.body)
        if answer is not None:
            answer.job = job
            self.answers.append(answer)
        return answer

    async def _die_with(self, target, nursery):
        await target.ended.wait()
        nursery.cancel_scope.cancel()


class JobText:
    """A caller's job."""

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
    """Call an ASGI application once."""
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
    return Answered(sent[0]['status'], msgspec.json.decode(sent[1]['body']))


@asynccontextmanager
async def running_cluster(**sizes):
    """Run a cluster and check the invariants at its end."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, **sizes)
        await cluster.start()
        yield cluster
        check(cluster)
        nursery.cancel_scope.cancel()


def check(cluster):
    """Check the invariants on journals and answers."""
    started = cluster.journal
    assert len(started) == len(set(started)), 'a task started twice'
    assert not any(guard.stale_starts for guard in cluster.guards), (
        'stale start'
    )
    requests = [key for guard in cluster.guards for key in guard.requests]
    assert len(requests) == len(set(requests)), 'retried, not idempotent'
    for answer in cluster.answers:
        known = set(started[: answer.horizon])
        _check_answer(answer.job, answer.document, known)


def _check_answer(job, document, started):
    tasks = {(job.job_id, index) for index in range(job.tasks)}
    if document['state'] == 'complete':
        indexes = [found['index'] for found in document['results']]
        assert indexes == list(range(job.tasks)), 'a partial answer'
        for found in document['results']:
            assert found['result'] == {'echo': found['index']}, 'mixed up'
        assert tasks <= started, 'complete without a start'
        return
    assert 'results' not in document, 'a failed job shows results'
    if document['run_state'] == 'not_run':
        assert not tasks & started, 'not_run though started'
    for task in document['tasks']:
        key = (job.job_id, task['index'])
        if task['run_state'] == 'not_run':
            assert key not in started, 'a task is not_run though started'
        elif task['run_state'] == 'ran':
            assert key in started, 'a task ran without a start'
