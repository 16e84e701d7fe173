"""Commands that plan, approve, apply and undo changes."""

from __future__ import annotations

import pathlib
import secrets

import attrs

from borageward.cli.commandid import CommandId
from borageward.cli.controlcalls import ControlCalls, open_control
from borageward.cli.exits import ExitCode, Report, exit_code
from borageward.cli.output import show_progress
from borageward.cli.planfile import read_plan, write_plan
from borageward.cli.target import Target
from borageward.clock import Milliseconds
from borageward.configuration import initial_configuration
from borageward.failures import Failure, FailureReason
from borageward.language import Plan, make_plan, undo_change
from borageward.messages.configuration import ConfigurationChange
from borageward.messages.control import (
    Applied,
    ApplyChange,
    Approve,
    Done,
    InForce,
    ReadInForce,
)

_POLL_MS: Milliseconds = 250
_WAIT_MS: Milliseconds = 30_000
_ID_BYTES = 16


@attrs.frozen(slots=True)
class Application:
    """How a plan is applied: the reason on record, and whether to wait."""

    reason: str
    wait: bool


async def plan_change(
    target: Target,
    change: ConfigurationChange,
    output: str,
) -> Report | Failure:
    """Describe a change and optionally keep the plan in a file."""
    async with open_control(target) as control:
        plan = await _plan(control, change)
    return plan if isinstance(plan, Failure) else _keep(plan, output)


async def plan_undo(
    target: Target,
    revision: int,
    output: str,
) -> Report | Failure:
    """Describe the change that takes a revision back."""
    async with open_control(target) as control:
        change = await _undo(control, revision)
        if isinstance(change, Failure):
            return change
        plan = await _plan(control, change)
    return plan if isinstance(plan, Failure) else _keep(plan, output)


async def approve_plan(target: Target, path: str) -> Report | Failure:
    """Record the approval of exactly the text in a plan file."""
    plan = read_plan(pathlib.Path(path))
    if isinstance(plan, Failure):
        return plan
    command = CommandId(pathlib.Path(path), 'approve')
    command_id = command.claim()
    if isinstance(command_id, Failure):
        return command_id
    request = Approve(
        command_id,
        plan.digest,
        plan.base_revision,
        target.operator,
    )
    async with open_control(target) as control:
        reply = await control.call(request, Done)
    command.settle(reply)
    if isinstance(reply, Failure):
        return _explained(reply)
    digest = plan.digest.hex()
    return Report(f'{plan.text}approved: {digest}')


async def apply_plan(
    target: Target,
    path: str,
    application: Application,
) -> Report | Failure:
    """Apply the change of a plan file."""
    plan = read_plan(pathlib.Path(path))
    if isinstance(plan, Failure):
        return plan
    command = CommandId(pathlib.Path(path), 'apply')
    command_id = command.claim()
    if isinstance(command_id, Failure):
        return command_id
    request = _request(command_id, target.operator, plan, application.reason)
    async with open_control(target) as control:
        reply = await control.call(request, Applied)
        command.settle(reply)
        if isinstance(reply, Failure):
            return _explained(reply)
        return await _accepted(control, reply.revision, application)


async def apply_change(
    target: Target,
    change: ConfigurationChange,
    application: Application,
) -> Report | Failure:
    """Plan and apply a change in one step; needs no approval policy."""
    async with open_control(target) as control:
        plan = await _plan(control, change)
        if isinstance(plan, Failure):
            return plan
        show_progress(plan.text)
        command_id = secrets.token_bytes(_ID_BYTES)
        request = _request(
            command_id,
            target.operator,
            plan,
            application.reason,
        )
        reply = await control.call(request, Applied)
        if isinstance(reply, Failure):
            return _explained(reply)
        return await _accepted(control, reply.revision, application)


async def _undo(
    control: ControlCalls,
    revision: int,
) -> ConfigurationChange | Failure:
    if revision < 1:
        detail = 'the first revision that can be undone is 1'
        return Failure(FailureReason.INVALID_REQUEST, detail)
    after = await control.read_revision(revision)
    if isinstance(after, Failure):
        return after
    before = initial_configuration()
    if revision > 1:
        previous = await control.read_revision(revision - 1)
        if isinstance(previous, Failure):
            return previous
        before = previous.configuration
    current = await control.read_revision()
    if isinstance(current, Failure):
        return current
    return undo_change(before, after.configuration, current.configuration)


async def _plan(
    control: ControlCalls,
    change: ConfigurationChange,
) -> Plan | Failure:
    base = await control.read_revision()
    if isinstance(base, Failure):
        return base
    members = await control.read_members()
    if isinstance(members, Failure):
        return members
    return make_plan(base.configuration, base.number, change, members.guards)


def _keep(plan: Plan, output: str) -> Report | Failure:
    if output:
        failure = write_plan(pathlib.Path(output), plan)
        if failure is not None:
            return failure
    digest = plan.digest.hex()
    return Report(f'{plan.text}digest: {digest}')


def _request(
    command_id: bytes,
    operator: str,
    plan: Plan,
    reason: str,
) -> ApplyChange:
    return ApplyChange(
        command_id,
        plan.base_revision,
        plan.change,
        operator,
        reason,
        plan.digest,
        plan.text,
    )


async def _accepted(
    control: ControlCalls,
    revision: int,
    application: Application,
) -> Report | Failure:
    if application.wait:
        return await _wait(control, revision)
    return Report(f'accepted as revision {revision}')


def _explained(failure: Failure) -> Failure:
    if exit_code(failure) is not ExitCode.UNREACHABLE:
        return failure
    advice = 'it may be accepted; the same command gives its outcome'
    return attrs.evolve(failure, detail=f'{failure.detail}; {advice}')


async def _wait(control: ControlCalls, revision: int) -> Report | Failure:
    deadline = control.clock.now_ms() + _WAIT_MS
    shown = ''
    while True:
        reply = await control.call(ReadInForce(revision), InForce)
        if isinstance(reply, Failure):
            return reply
        if not reply.pending:
            text = f'revision {revision} in force at all {reply.confirmed}'
            return Report(f'{text} live processes')
        names = ', '.join(reply.pending)
        if names != shown:
            show_progress(f'waiting for {names}')
            shown = names
        if control.clock.now_ms() >= deadline:
            text = f'accepted as revision {revision}, not in force at {names}'
            return Report(text, ExitCode.NOT_IN_FORCE)
        await control.clock.sleep_ms(_POLL_MS)
