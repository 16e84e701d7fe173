"""Clients of a control cluster that check the replies they receive."""

from __future__ import annotations

import random

import attrs
import trio

from borageward.controlclient import ControlClient
from borageward.failures import Failure, FailureReason
from borageward.messages import control as messages
from borageward.messages.configuration import SetLimit
from tests.control.fakes import START_WALL_MS, FakeClock

TIMEOUT_MS = 3000
DIGEST = b'd' * 16


def claim_request(job_id, digest=DIGEST):
    return messages.ClaimRequest(job_id, digest, 1)


@attrs.define
class Acknowledged:
    """Replies that the cluster acknowledged, and contradictions among them.

    ``owners`` lists the owners of each job, ``takeovers`` the jobs that may
    change their owner, ``changes`` the command that created each revision.
    ``revision`` is the newest acknowledged revision.
    """

    owners: dict[bytes, list[int]] = attrs.field(factory=dict)
    takeovers: set[bytes] = attrs.field(factory=set)
    changes: dict[int, str] = attrs.field(factory=dict)
    revision: int = 0
    violations: list[str] = attrs.field(factory=list)

    def record_claim(self, answer):
        """Record an acknowledged owner of a job."""
        owners = self.owners.setdefault(answer.job_id, [])
        if answer.owner not in owners:
            owners.append(answer.owner)
        if len(owners) > 1 and answer.job_id not in self.takeovers:
            self.violations.append(f'two owners {owners}')

    def record_change(self, revision, command):
        """Record an acknowledged change."""
        winner = self.changes.setdefault(revision, command)
        if winner != command:
            self.violations.append(f'revision {revision} created twice')
        self.revision = max(self.revision, revision)

    def check_read(self, revision, known_before):
        """Check a read that started after a revision was acknowledged."""
        if revision < known_before:
            self.violations.append(f'{revision} read after {known_before}')


class Workload:
    """Entries that claim the same jobs, and operators whose changes compete."""

    def __init__(self, cluster, seed):
        self._cluster = cluster
        self._random = random.Random(seed)
        self.acknowledged = Acknowledged()
        wall_ms = START_WALL_MS
        self._jobs = [
            (wall_ms + at * 40).to_bytes(6, 'big') + self._random.randbytes(10)
            for at in range(400)
        ]

    def client(self):
        source = random.Random(self._random.random())
        return ControlClient(self._cluster.peers(), FakeClock(), source)

    async def run(self, duration_ms):
        with trio.move_on_after(duration_ms / 1000):
            async with trio.open_nursery() as nursery:
                for number in range(3):
                    nursery.start_soon(self._run_entry, f'e{number}')
                for number in range(2):
                    nursery.start_soon(self._run_operator, f'o{number}')
                nursery.start_soon(self._run_reader)

    async def check(self):
        """Compare the state of a healthy cluster with acknowledged replies."""
        replies = self.acknowledged
        with trio.fail_after(60):
            jobs = tuple(replies.owners)
            found = await self._call_until_answered(messages.FindClaims(jobs))
            history = await self._call_until_answered(
                messages.ReadHistory(1000)
            )
        for answer in found.answers:
            replies.record_claim(answer)
        commands = {item.revision: item.reason for item in history.history}
        for revision, command in replies.changes.items():
            if commands.get(revision) != command:
                replies.violations.append(f'revision {revision} lost')
        assert not replies.violations

    async def _call_until_answered(self, request):
        client = self.client()
        while True:
            reply = await client.call(request, TIMEOUT_MS)
            if not isinstance(reply, Failure):
                return reply

    async def _run_entry(self, name):
        client = self.client()
        while True:
            nonce = self._random.randbytes(8)
            request = messages.RegisterEntry(nonce, name, '', name, name)
            reply = await client.call(request, TIMEOUT_MS)
            if isinstance(reply, Failure):
                continue
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._send_heartbeats, reply, scope)
                    nursery.start_soon(
                        self._claim, client, reply.incarnation, scope
                    )

    async def _send_heartbeats(self, registered, scope):
        """Send heartbeats every 300 ms, but one in twenty only after 4 s.

        The lease of the entry expires during such a pause.
        """
        client = self.client()
        while True:
            before = self.acknowledged.revision
            heartbeat = messages.Heartbeat(registered.incarnation, 0, 0)
            reply = await client.call(heartbeat, TIMEOUT_MS)
            if _has_ended(reply):
                scope.cancel()
            if isinstance(reply, messages.HeartbeatReply):
                self.acknowledged.check_read(reply.revision, before)
            pause_ms = 300 if self._random.randrange(20) else 4000
            await trio.sleep(pause_ms / 1000)

    async def _claim(self, client, incarnation, scope):
        while True:
            job_ids = tuple(self._random.sample(self._jobs[:200], 3))
            if self._random.randrange(2):
                self._jobs.append(self._jobs.pop(0))
            requests = tuple(claim_request(job_id) for job_id in job_ids)
            claim = messages.Claim(incarnation, requests)
            reply = await client.call(claim, TIMEOUT_MS)
            if _has_ended(reply):
                scope.cancel()
            elif isinstance(reply, messages.Claimed):
                await self._record_claims(client, incarnation, reply)
            await trio.sleep(self._random.uniform(0.01, 0.1))

    async def _record_claims(self, client, incarnation, claimed):
        state = messages.ClaimState
        ended = []
        for answer in claimed.answers:
            if answer.state is state.CLAIMED:
                self.acknowledged.record_claim(answer)
            if answer.state is state.OWNER_ENDED:
                ended.append(answer.job_id)
        if ended:
            self.acknowledged.takeovers.update(ended)
            take_over = messages.TakeOver(incarnation, tuple(ended))
            await client.call(take_over, TIMEOUT_MS)

    async def _run_operator(self, name):
        client = self.client()
        base = 0
        for number in range(10_000):
            command = f'{name}-{number}'
            change = messages.ApplyChange(
                command.encode(),
                base,
                SetLimit('max_open_jobs', number),
                name,
                command,
            )
            reply = await client.call(change, TIMEOUT_MS)
            if isinstance(reply, messages.Applied):
                self.acknowledged.record_change(reply.revision, command)
                base = reply.revision
            if isinstance(reply, messages.RevisionConflict):
                base = reply.revision
            await trio.sleep(self._random.uniform(0.02, 0.2))

    async def _run_reader(self):
        client = self.client()
        while True:
            before = self.acknowledged.revision
            reply = await client.call(messages.ReadConfiguration(), TIMEOUT_MS)
            if isinstance(reply, messages.ConfigurationRead):
                self.acknowledged.check_read(reply.revision, before)
            known = tuple(self.acknowledged.owners)[-5:]
            reply = await client.call(messages.FindClaims(known), TIMEOUT_MS)
            if isinstance(reply, messages.Claimed):
                for answer in reply.answers:
                    self.acknowledged.record_claim(answer)
            await trio.sleep(0.05)


def _has_ended(reply):
    ended = FailureReason.INCARNATION_ENDED
    return isinstance(reply, Failure) and reply.reason is ended
