"""Tests of the commands against a fake control replica and a fake entry."""

from __future__ import annotations

import json
import os
import pathlib
import subprocess  # noqa: S404
import sys

import msgspec
import pytest
import trio

from borageward.cli import changes, controlcalls, reading
from borageward.cli.exits import ExitCode, exit_code
from borageward.cli.main import main
from borageward.cli.target import Target
from borageward.configuration import (
    encode_configuration,
    initial_configuration,
)
from borageward.controlclient import client
from borageward.failures import Failure, FailureReason
from borageward.language import AnswerFormat, parse_sentence
from borageward.messages import control
from borageward.messages.base import Rejected
from borageward.messages.query import EntrySnapshot, JobRow, JobState
from borageward.transport import Address
from borageward.transport.grpc import GrpcServer

_LOOPBACK = Address('127.0.0.1', 0)
_UNUSED_ADDRESS = Address('127.0.0.1', 1)
_EXAMPLES = pathlib.Path(__file__).parents[2] / 'docs' / 'examples'
_OPERATOR_SETTINGS = str(_EXAMPLES / 'viti-west' / 'operator.json')
_CREATE_SERVICE = (
    'create service dispatch with quota 8 slots, weight 1, deadline 5 s'
)
_SET_QUOTA = 'set quota of dispatch to 4 slots'


class _FakeControl:
    """Control of one replica that executes each command id once."""

    def __init__(self):
        self.configurations = [initial_configuration()]
        self.requests = []
        self.outcomes = {}
        self.approval_required = False
        self.pending = [('guard worker-01',), ()]

    async def serve(self, request):
        self.requests.append(request)
        if isinstance(request, control.ReadConfiguration):
            number = request.revision or len(self.configurations) - 1
            document = encode_configuration(self.configurations[number])
            return control.ConfigurationRead(number, document)
        if isinstance(request, control.Watch):
            guard = control.GuardMember(
                1, 'w-1', 'kingston', 'dispatch', '', '', 8
            )
            return control.Membership(1, full=True, guards=(guard,), entries=())
        if isinstance(request, control.ReadInForce):
            return control.InForce(request.revision, self.pending.pop(0), 3)
        if isinstance(request, control.Approve):
            self.approval_required = False
            return control.Done()
        if isinstance(request, control.ReadControl):
            return control.ControlStatus(
                'control-1', 4, 'control-1', 9, ('control-1',), (), 0, 1
            )
        return self._apply(request)

    def _apply(self, request):
        known = self.outcomes.get(request.command_id)
        if known is not None:
            return known
        if request.base_revision != len(self.configurations) - 1:
            return control.RevisionConflict(1, 'ben', 'storm', 0)
        if self.approval_required:
            refusal = Rejected(FailureReason.APPROVAL_REQUIRED)
            return self.outcomes.setdefault(request.command_id, refusal)
        changed = self.configurations[-1].apply(request.change)
        self.configurations.append(changed)
        outcome = control.Applied(len(self.configurations) - 1)
        self.outcomes[request.command_id] = outcome
        return outcome


# The tests check what is sent and answered, not how soon. A machine that stalls
# for seconds let calls time out and be sent again.
_LONG_TIMEOUT_MS = 60_000.0


@pytest.fixture(name='replica')
async def _replica(monkeypatch):
    monkeypatch.setattr(controlcalls, '_CALL_TIMEOUT_MS', _LONG_TIMEOUT_MS)
    monkeypatch.setattr(client, '_ATTEMPT_TIMEOUT_MS', _LONG_TIMEOUT_MS)
    replica = _FakeControl()
    server = GrpcServer(_LOOPBACK, replica.serve, control.ControlRequest)
    await server.start()
    replica.target = Target((server.address,), (), None)
    yield replica
    await server.close()


async def _write_plan(replica, sentence, path):
    report = await changes.plan_change(
        replica.target, parse_sentence(sentence), str(path)
    )
    assert not isinstance(report, Failure), report
    return str(path)


_WITHOUT_WAIT = changes.ApplyOptions('night shift', wait=False)


async def test_approved_text_is_what_is_applied(replica, tmp_path):
    """Guards against an approval that does not cover the applied plan.

    The approval and the change are sent by two commands, which must send the
    same digest of the plan file.
    """
    path = await _write_plan(replica, _CREATE_SERVICE, tmp_path / 'plan.json')
    approved = await changes.approve_plan(replica.target, path)
    applied = await changes.apply_plan(replica.target, path, _WITHOUT_WAIT)
    assert applied.text == 'accepted as revision 1'
    approval, change = replica.requests[-2:]
    assert approval.plan_digest == change.plan_digest
    assert approval.plan_digest.hex() in approved.text
    assert change.reason == 'night shift'


async def test_resent_apply_gets_first_outcome(replica, tmp_path):
    """Guards against a second revision after a lost reply.

    The operator cannot know the outcome and repeats the command, which must
    be sent under the same command id.
    """
    path = await _write_plan(replica, _CREATE_SERVICE, tmp_path / 'plan.json')
    first = await changes.apply_plan(replica.target, path, _WITHOUT_WAIT)
    assert (
        await changes.apply_plan(replica.target, path, _WITHOUT_WAIT) == first
    )
    assert len(replica.configurations) == 2


async def test_refused_command_can_be_tried_again(replica, tmp_path):
    """Guards against a refusal that persists after the plan is approved.

    Control answers a known command id with its first outcome, so the next
    attempt must use a new id.
    """
    path = await _write_plan(replica, _CREATE_SERVICE, tmp_path / 'plan.json')
    replica.approval_required = True
    refused = await changes.apply_plan(replica.target, path, _WITHOUT_WAIT)
    assert refused.reason is FailureReason.APPROVAL_REQUIRED
    await changes.approve_plan(replica.target, path)
    applied = await changes.apply_plan(replica.target, path, _WITHOUT_WAIT)
    assert applied.text == 'accepted as revision 1'


async def test_second_plan_of_same_revision_conflicts(replica, tmp_path):
    """Guards against applying a plan whose base revision is outdated.

    Both plans are made against the same revision; the first to be applied
    makes the second one outdated.
    """
    first = await _write_plan(replica, _CREATE_SERVICE, tmp_path / 'first.json')
    second = await _write_plan(
        replica, 'require approval', tmp_path / 'second.json'
    )
    await changes.apply_plan(replica.target, first, _WITHOUT_WAIT)
    outcome = await changes.apply_plan(replica.target, second, _WITHOUT_WAIT)
    assert exit_code(outcome) is ExitCode.CONFLICT
    assert 'ben' in outcome.detail


async def test_edited_plan_is_refused(replica, tmp_path):
    """Guards against applying a plan file whose text was edited.

    The text would then not describe the change that is applied.
    """
    path = tmp_path / 'plan.json'
    await _write_plan(replica, _CREATE_SERVICE, path)
    document = json.loads(path.read_text())
    document['text'] = document['text'].replace('8 slots', '9 slots')
    path.write_text(json.dumps(document))
    outcome = await changes.apply_plan(replica.target, str(path), _WITHOUT_WAIT)
    assert outcome.reason is FailureReason.INVALID_REQUEST
    assert len(replica.configurations) == 1


async def test_undo_is_a_new_change(replica, tmp_path, capsys):
    """Guards against an undo that removes revisions from the history.

    Undoing a revision must add a revision, whose configuration equals the one
    before the undone change.
    """
    for sentence in (_CREATE_SERVICE, _SET_QUOTA):
        path = await _write_plan(
            replica, sentence, tmp_path / f'{len(sentence)}'
        )
        await changes.apply_plan(replica.target, path, _WITHOUT_WAIT)
    path = str(tmp_path / 'undo.json')
    await changes.plan_undo(replica.target, 2, path)
    waiting = changes.ApplyOptions('too small', wait=True)
    report = await changes.apply_plan(replica.target, path, waiting)
    assert report.text == 'revision 3 in force at all 3 live processes'
    assert 'waiting for guard worker-01' in capsys.readouterr().err
    assert replica.configurations[3] == replica.configurations[1]


async def test_status_names_replicas_that_do_not_answer(replica):
    """Guards against a status that omits an unreachable replica.

    The output must name the replica, and the exit code must say that the
    answer is incomplete.
    """
    addresses = (*replica.target.control, _UNUSED_ADDRESS)
    report = await reading.read_status(Target(addresses, (), None))
    assert report.code is ExitCode.INCOMPLETE
    assert 'leader' in report.text
    assert f'not reached: {_UNUSED_ADDRESS}' in report.text


async def test_query_of_control(replica, tmp_path):
    """Guards against queries on control that fail or do not name control."""
    for sentence in ('show members', 'show limits', 'show configuration'):
        report = await reading.answer_query(
            replica.target, sentence, AnswerFormat.TABLE
        )
        assert report.code is ExitCode.DONE
        assert '# from control' in report.text


async def test_query_of_entries_names_lost_entry(nursery):
    """Guards against a partial answer that looks complete.

    One of two entries is unreachable: the answer must hold the jobs of the
    other one, name the unreachable entry and be marked as incomplete.
    """
    job = JobRow('job-1', 'dispatch', JobState.WAITING, 3000)
    snapshot = EntrySnapshot('entry-1', 'kingston', 1, 1, (job,))
    body = msgspec.json.encode(snapshot)
    header = f'HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n'

    async def serve(stream):
        await stream.receive_some()
        await stream.send_all(header.encode() + body)

    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    port = listeners[0].socket.getsockname()[1]
    entries = (Address('127.0.0.1', port), _UNUSED_ADDRESS)
    report = await reading.answer_query(
        Target((), entries, None), 'show jobs', AnswerFormat.LINES
    )
    assert 'job=job-1' in report.text
    assert f'not reached: {_UNUSED_ADDRESS}' in report.text
    assert report.code is ExitCode.INCOMPLETE


@pytest.mark.parametrize(
    ('words', 'message'),
    [
        (['query', 'show job'], 'column 6: expected'),
        (['query', _SET_QUOTA], 'use "plan" and "apply"'),
        (['plan', 'show jobs'], 'use "query"'),
        (
            ['query', 'show jobs', '--entry', 'localhost:80'],
            'not an IP address',
        ),
        (['approve', 'missing.json'], 'No such file'),
        (['undo', '0'], 'can be undone'),
        (['query', 'show jobs', '--settings', 'missing.json'], 'No such file'),
    ],
)
def test_user_mistake_is_one_line(words, message, capsys, monkeypatch):
    """Guards against a traceback or a silent exit after a user's mistake.

    Each mistake must print one line to standard error and nothing to standard
    output.
    """
    monkeypatch.setenv('BORAGEWARD_SETTINGS', _OPERATOR_SETTINGS)
    assert main(words) == ExitCode.USAGE
    shown = capsys.readouterr()
    assert message in shown.err
    assert shown.err.count('\n') == 1
    assert not shown.out


def test_abbreviated_option_is_refused(capsys):
    """Guards against abbreviated options, which argparse would accept.

    An abbreviation in a script would change its meaning or fail once another
    option with the same beginning is added.
    """
    assert main(['status', '--sett', _OPERATOR_SETTINGS]) == ExitCode.USAGE
    assert capsys.readouterr().err.endswith('unknown option --sett\n')


def test_settings_are_needed(capsys, monkeypatch):
    """Guards against calling control without TLS by accident.

    The settings say whether TLS is used, so an address alone must not be
    enough to run a command.
    """
    monkeypatch.delenv('BORAGEWARD_SETTINGS', raising=False)
    assert main(['status', '--control', '127.0.0.1:7101']) == ExitCode.USAGE
    assert '--settings' in capsys.readouterr().err


def test_closed_pipe_ends_quietly():
    """Guards against a traceback when the reader of the pipe has exited.

    Writing the report, or the interpreter's final flush, then fails with a
    broken pipe.
    """
    reading_end, writing_end = os.pipe()
    os.close(reading_end)
    finished = subprocess.run(  # noqa: S603
        [sys.executable, '-m', 'borageward.cli.main', 'status'],
        stdout=writing_end,
        stderr=subprocess.PIPE,
        env={**os.environ, 'BORAGEWARD_SETTINGS': _OPERATOR_SETTINGS},
        check=False,
    )
    os.close(writing_end)
    assert finished.returncode == ExitCode.CLOSED_PIPE
    assert finished.stderr == b''
