"""Rules of the replicated state: claims, members, revisions, approvals."""

from __future__ import annotations

import msgspec
import pytest

from borageward.control.state import StateMachine
from borageward.failures import FailureReason
from borageward.identity import new_job_id
from borageward.language.plan import plan_digest
from borageward.language.sentences import sentence_of
from borageward.messages import control as messages
from borageward.messages.configuration import SetApproval, SetLimit
from borageward.messages.consensus import LogEntry, StartTerm

RETENTION_MS = 600_000
SKEW_MS = 30_000
DIGEST = bytes(16)
STATE = messages.ClaimState
OUTCOME = messages.OutcomeKind


class Log:
    """Applies commands to a state machine at a wall time that tests set.

    Every third command is followed by a snapshot and a restore, which must
    not change the state.
    """

    def __init__(self):
        self.machine = StateMachine()
        self.wall_ms = 10_000_000
        self.apply(StartTerm(RETENTION_MS, SKEW_MS))

    def apply(self, command):
        index = self.machine.applied_index + 1
        document = msgspec.msgpack.encode(command)
        reply = self.machine.apply(LogEntry(index, 1, self.wall_ms, document))
        if index % 3 == 0:
            restored = StateMachine()
            assert restored.restore(self.machine.encode()) is None
            assert restored.encode() == self.machine.encode()
            self.machine = restored
        return reply

    def entry(self, name):
        request = messages.RegisterEntry(name.encode(), name, '', name, '')
        return self.apply(request).incarnation

    def claim(self, owner, job_id, digest=DIGEST):
        request = messages.ClaimRequest(job_id, digest, 3)
        reply = self.apply(messages.Claim(owner, (request,)))
        return reply.answers[0]

    def change(self, command, base, **fields):
        return self.apply(
            messages.ApplyChange(
                command,
                base,
                SetLimit('max_open_jobs', 1),
                'ana',
                'r',
                **fields,
            )
        )


@pytest.mark.parametrize(
    ('age_ms', 'expected'),
    [
        (RETENTION_MS - SKEW_MS, STATE.TOO_OLD),
        (RETENTION_MS - SKEW_MS - 1, STATE.CLAIMED),
        (-SKEW_MS, STATE.CLAIMED),
        (-SKEW_MS - 1, STATE.IN_FUTURE),
    ],
)
def test_id_age(age_ms, expected):
    """Guards against an id that is claimed again after its claim expired.

    The job would then run twice. The ids at both ends of the range of
    accepted times are followed until long after their claims expired.
    """
    log = Log()
    owner = log.entry('e1')
    job_id = new_job_id(log.wall_ms - age_ms)
    assert log.claim(owner, job_id).state is expected
    if expected is not STATE.CLAIMED:
        return
    states = []
    for _ in range(700):
        log.wall_ms += 1000
        states.append(log.claim(owner, job_id).state)
    assert set(states) <= {STATE.CLAIMED, STATE.TOO_OLD}
    assert sorted(states, key=lambda state: state is STATE.TOO_OLD) == states
    assert not len(log.machine.claims)


def test_claim_moves_only_from_an_ended_owner():
    """Guards against two owners of a job and outcomes from a non-owner.

    Both could come from an incarnation that has ended or from one that tries
    to take over a claim whose owner is live.
    """
    log = Log()
    first, second = log.entry('e1'), log.entry('e2')
    job_id = new_job_id(log.wall_ms)
    finish = (messages.JobFinish(job_id, OUTCOME.COMPLETE),)
    take_over = messages.TakeOver(second, (job_id,))
    claimed = log.claim(first, job_id)
    assert claimed.state is STATE.CLAIMED
    assert log.claim(second, job_id).state is STATE.OWNED
    assert log.claim(second, job_id, b'x' * 16).state is STATE.CONFLICT
    assert log.apply(take_over).answers[0].state is STATE.OWNED
    assert log.apply(messages.Finish(second, finish)).recorded == (False,)
    log.apply(messages.EndIncarnation(first))
    refused = log.apply(messages.Finish(first, finish))
    assert refused.reason is FailureReason.INCARNATION_ENDED
    assert log.claim(second, job_id).state is STATE.OWNER_ENDED
    for _ in range(2):
        moved = log.apply(take_over).answers[0]
        assert (moved.owner, moved.former_owners) == (second, (first,))
        assert moved.claimed_at == claimed.claimed_at
    assert log.apply(messages.Finish(second, finish)).recorded == (True,)
    assert log.apply(messages.Finish(second, finish)).recorded == (True,)
    other = (messages.JobFinish(job_id, OUTCOME.FAILED),)
    assert log.apply(messages.Finish(second, other)).recorded == (False,)
    assert log.claim(second, job_id).outcome is OUTCOME.COMPLETE


def test_new_guard_learns_all_ended_entries():
    """Guards against a guard that starts work of an entry that has ended.

    A guard that registers after the end of an entry has to learn of it from
    the reply, also when the registration is sent twice. Once such members are
    forgotten, a reader with an older version has to get a full reply.
    """
    log = Log()
    ended = [log.entry(name) for name in ('e1', 'e2')]
    for incarnation in ended:
        log.apply(messages.EndIncarnation(incarnation))
    guard = messages.RegisterGuard(b'g', 'w', '', '', '', '', 1)
    registered = log.apply(guard)
    assert registered.ended == tuple(ended)
    assert log.apply(guard).incarnation == registered.incarnation
    log.apply(messages.EndIncarnation(registered.incarnation))
    assert log.apply(guard).reason is FailureReason.INCARNATION_ENDED
    version = log.machine.members.version
    log.wall_ms += RETENTION_MS + 2000
    log.entry('e3')
    assert log.machine.members.changes_after(version - 1).full
    assert not log.machine.members.guards_since(0).guards


def test_one_change_wins_a_revision():
    """Guards against a lost update and a command that takes effect twice.

    Two changes with the same base revision compete, and commands are sent
    again after their first outcome.
    """
    log = Log()
    assert log.change(b'1', 0) == messages.Applied(1)
    conflict = log.change(b'2', 0)
    assert (conflict.revision, conflict.author) == (1, 'ana')
    assert log.change(b'3', 1) == messages.Applied(2)
    assert log.change(b'1', 0) == messages.Applied(1)
    assert log.change(b'2', 0) == conflict
    reused = log.change(b'1', 2)
    assert reused.reason is FailureReason.INVALID_REQUEST
    assert log.machine.revisions.revision == 2


def test_approval_binds_plan_and_revision():
    """Guards against a change that takes effect without its approval.

    The approval may be missing, for another base revision, for another plan
    or for a plan that states another change, or it may have been used already.
    """
    log = Log()
    text = f'Change: {sentence_of(SetLimit("max_open_jobs", 1))}'
    plan = plan_digest(text, 1)
    required = messages.ApplyChange(b'0', 0, SetApproval(True), 'ana', '')
    assert log.apply(required) == messages.Applied(1)
    refused = log.change(b'1', 1, plan_digest=plan)
    assert refused.reason is FailureReason.APPROVAL_REQUIRED
    stale = messages.Approve(b'2', plan, 0, 'chief')
    assert isinstance(log.apply(stale), messages.RevisionConflict)
    log.apply(messages.Approve(b'3', plan, 1, 'chief'))
    refused = log.change(b'4', 1, plan_digest=b'other')
    assert refused.reason is FailureReason.APPROVAL_MISMATCH
    assert log.change(b'5', 1).reason is FailureReason.APPROVAL_REQUIRED
    other = messages.ApplyChange(
        b'8',
        1,
        SetLimit('max_open_jobs', 9),
        'ana',
        'r',
        plan,
        text,
    )
    refused = log.apply(other)
    assert refused.reason is FailureReason.APPROVAL_MISMATCH
    applied = log.change(b'6', 1, plan_digest=plan, plan_text=text)
    assert applied == messages.Applied(2)
    assert log.machine.revisions.history(1)[0].approver == 'chief'
    refused = log.change(b'7', 2, plan_digest=plan, plan_text=text)
    assert refused.reason is FailureReason.APPROVAL_REQUIRED
