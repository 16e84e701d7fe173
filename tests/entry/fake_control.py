"""In-memory control with registration, leases, claims and membership."""

from __future__ import annotations

import attrs
import trio

from borageward.configuration import encode_configuration
from borageward.configuration import initial_configuration
from borageward.failures import Failure, FailureReason
from borageward.messages import configuration as changes
from borageward.messages import control as ctl

ENTRY_LEASE_S = 1.5


def configuration_of_tests():
    """Return a configuration with the service ``dispatch``."""
    return initial_configuration().apply(
        changes.SetService('dispatch', 40, 1.0, 5000),
    )


class ControlState:
    """Replicated state, shared by the clients of all entries.

    Entries whose last heartbeat is older than ``ENTRY_LEASE_S`` are ended.
    """

    def __init__(self):
        self.position = 10
        self.claims = {}
        self.entries = {}
        self.guards = {}
        self.last_heartbeat = {}
        self.version = 0
        self.changed = trio.Event()
        self.configuration = encode_configuration(configuration_of_tests())

    def next_position(self):
        self.position += 1
        return self.position

    def publish(self):
        self.version += 1
        self.changed.set()
        self.changed = trio.Event()

    def is_live(self, entry):
        found = self.entries.get(entry)
        return found is not None and found.ended_at == 0

    def end_entry(self, entry):
        if self.is_live(entry):
            self.entries[entry] = replace_fields(
                self.entries[entry],
                ended_at=self.next_position(),
            )
            self.publish()

    def add_guard(self, worker, address, slots, service='dispatch'):
        incarnation = self.next_position()
        self.guards[incarnation] = ctl.GuardMember(
            incarnation,
            worker,
            'nadi-depot',
            service,
            'endpoint',
            address,
            slots,
            started_at=incarnation,
        )
        self.publish()
        return incarnation

    def end_guard(self, guard):
        if self.guards[guard].ended_at == 0:
            self.guards[guard] = replace_fields(
                self.guards[guard],
                ended_at=self.next_position(),
            )
            self.publish()

    async def expire_leases(self):
        while True:
            await trio.sleep(0.1)
            now = trio.current_time()
            for entry, last_heartbeat in list(self.last_heartbeat.items()):
                if now - last_heartbeat > ENTRY_LEASE_S:
                    self.end_entry(entry)


class FakeControl:
    """Control client of one entry.

    ``faults`` maps the name of a request type to a fault of its next call: a
    ``lost`` call takes effect but its reply is lost, a ``refused`` one has no
    effect, a ``delayed`` one is answered late. While ``cut_off`` is true, no
    call succeeds. ``calls`` lists the names of the request types.
    """

    def __init__(self, state):
        self.state = state
        self.faults = {}
        self.cut_off = False
        self.calls = []

    async def call(self, request, timeout_ms):
        name = type(request).__name__
        self.calls.append(name)
        fault = self.faults.pop(name, None)
        if self.cut_off or fault == 'refused':
            await trio.sleep(timeout_ms / 1000)
            return Failure(FailureReason.NO_QUORUM)
        await trio.sleep(0.9 if fault == 'delayed' else 0.004)
        reply = await getattr(self, f'_{name}')(request)
        if fault == 'lost' or self.cut_off:
            await trio.sleep(timeout_ms / 1000)
            return Failure(FailureReason.TIMEOUT)
        return reply

    async def close(self):
        await trio.lowlevel.checkpoint()

    async def _RegisterEntry(self, request):
        entry = self.state.next_position()
        self.state.entries[entry] = ctl.EntryMember(
            entry,
            request.name,
            request.place,
            request.link_address,
            request.http_address,
            started_at=entry,
        )
        self.state.last_heartbeat[entry] = trio.current_time()
        self.state.publish()
        return ctl.Registered(entry, 1, self.state.configuration)

    async def _Heartbeat(self, request):
        if not self.state.is_live(request.incarnation):
            return Failure(FailureReason.INCARNATION_ENDED)
        self.state.last_heartbeat[request.incarnation] = trio.current_time()
        live = sum(map(self.state.is_live, self.state.entries))
        return ctl.HeartbeatReply(1, b'', (), 0, live)

    async def _EndIncarnation(self, request):
        self.state.end_entry(request.incarnation)
        return ctl.Done()

    async def _Claim(self, request):
        if not self.state.is_live(request.incarnation):
            return Failure(FailureReason.INCARNATION_ENDED)
        return ctl.Claimed(
            tuple(
                self._claim(request.incarnation, item)
                for item in request.requests
            ),
        )

    def _claim(self, incarnation, item):
        claims = self.state.claims
        if item.job_id not in claims:
            claims[item.job_id] = {
                'digest': item.digest,
                'owner': incarnation,
                'at': self.state.next_position(),
                'count': item.task_count,
                'outcome': None,
                'former': (),
            }
            return self._answer(item.job_id, ctl.ClaimState.CLAIMED)
        if claims[item.job_id]['digest'] != item.digest:
            return self._answer(item.job_id, ctl.ClaimState.CONFLICT)
        return self._answer(item.job_id)

    def _answer(self, job_id, state=None):
        claim = self.state.claims.get(job_id)
        if claim is None:
            return ctl.ClaimAnswer(job_id, ctl.ClaimState.OWNED)
        live = self.state.is_live(claim['owner'])
        owned = ctl.ClaimState.OWNED if live else ctl.ClaimState.OWNER_ENDED
        return ctl.ClaimAnswer(
            job_id,
            state or owned,
            claim['owner'],
            self.state.entries[claim['owner']].link_address,
            live,
            claim['at'],
            claim['count'],
            claim['outcome'],
            claim['former'],
        )

    async def _TakeOver(self, request):
        if not self.state.is_live(request.incarnation):
            return Failure(FailureReason.INCARNATION_ENDED)
        for job_id in request.job_ids:
            claim = self.state.claims[job_id]
            if not self.state.is_live(claim['owner']):
                claim['former'] += (claim['owner'],)
                claim['owner'] = request.incarnation
        return ctl.Claimed(tuple(map(self._answer, request.job_ids)))

    async def _FindClaims(self, request):
        return ctl.Claimed(tuple(map(self._answer, request.job_ids)))

    async def _Finish(self, request):
        if not self.state.is_live(request.incarnation):
            return Failure(FailureReason.INCARNATION_ENDED)
        return ctl.Finished(
            tuple(self._finish(request, item) for item in request.jobs),
        )

    def _finish(self, request, item):
        claim = self.state.claims[item.job_id]
        if claim['owner'] != request.incarnation:
            return False
        claim['outcome'] = claim['outcome'] or item.outcome
        return claim['outcome'] is item.outcome

    async def _Watch(self, request):
        if request.after_version >= self.state.version:
            with trio.move_on_after(request.wait_ms / 1000):
                await self.state.changed.wait()
        return self._membership()

    async def _GuardsSince(self, request):
        full = self._membership()
        return replace_fields(
            full,
            guards=tuple(
                guard
                for guard in full.guards
                if not guard.ended_at or guard.ended_at >= request.position
            ),
        )

    def _membership(self):
        return ctl.Membership(
            self.state.version,
            True,
            tuple(self.state.guards.values()),
            tuple(self.state.entries.values()),
        )


def replace_fields(struct, **fields):
    """Return a copy of a message with the given fields replaced."""
    values = {name: getattr(struct, name) for name in struct.__struct_fields__}
    return type(struct)(**{**values, **fields})


@attrs.define
class CallerAnswer:
    """Answer that a caller has received, with the job that it is for."""

    status: int
    document: dict
    job: object = None
    # Length of the journal when the job was submitted again, if it was.
    journal_length: int | None = None
