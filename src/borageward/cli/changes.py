"""Commands that plan, approve, apply and undo configuration changes."""

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

_POLL_INTERVAL_MS: Milliseconds = 250
_IN_FORCE_TIMEOUT_MS: Milliseconds = 30_000
_COMMAND_ID_BYTES = 16


@attrs.frozen(slots=True)
class ApplyOptions:
    """Options for applying a plan.

    ``reason`` is stored in the history of changes. With ``wait`` the command
    returns only once the change is in force or the wait times out.
    """

    reason: str
    wait: bool


async def plan_change(
    target: Target,
    change: ConfigurationChange,
    output: str,
) -> Report | Failure:
    """Plan a change; write the plan to ``output`` unless that is empty.

    Returns ``INVALID_REQUEST`` if the file cannot be created.
    """
    async with open_control(target) as control:
        plan = await _plan_change(control, change)
    return plan if isinstance(plan, Failure) else _report_plan(plan, output)


async def plan_undo(
    target: Target,
    revision: int,
    output: str,
) -> Report | Failure:
    """Plan the change that reverts a revision, as ``plan_change`` does.

    Returns ``INVALID_REQUEST`` for a revision below 1, and ``INVALID_CHANGE``
    if a later revision has changed one of the values again or if the revision
    changed nothing.
    """
    async with open_control(target) as control:
        change = await _make_undo_change(control, revision)
        if isinstance(change, Failure):
            return change
        plan = await _plan_change(control, change)
    return plan if isinstance(plan, Failure) else _report_plan(plan, output)


async def approve_plan(target: Target, path: str) -> Report | Failure:
    """Record the operator's approval of the plan in a file.

    The approval is bound to the digest of the plan's text and base revision,
    so that it does not cover any other plan.
    """
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
        return _with_retry_advice(reply)
    digest = plan.digest.hex()
    return Report(f'{plan.text}approved: {digest}')


async def apply_plan(
    target: Target,
    path: str,
    options: ApplyOptions,
) -> Report | Failure:
    """Apply the change in a plan file and report its revision.

    Returns ``REVISION_CONFLICT`` if another change was accepted since the
    plan was made. With ``wait``, the report has the exit code
    ``NOT_IN_FORCE`` if some processes do not confirm the change in time.
    """
    plan = read_plan(pathlib.Path(path))
    if isinstance(plan, Failure):
        return plan
    command = CommandId(pathlib.Path(path), 'apply')
    command_id = command.claim()
    if isinstance(command_id, Failure):
        return command_id
    request = _apply_request(command_id, target.operator, plan, options.reason)
    async with open_control(target) as control:
        reply = await control.call(request, Applied)
        command.settle(reply)
        if isinstance(reply, Failure):
            return _with_retry_advice(reply)
        return await _report_acceptance(control, reply.revision, options)


async def apply_change(
    target: Target,
    change: ConfigurationChange,
    options: ApplyOptions,
) -> Report | Failure:
    """Plan and apply a change in one step, without a plan file.

    This suits configurations that require no approval: there is no step at
    which the plan could be approved.
    """
    async with open_control(target) as control:
        plan = await _plan_change(control, change)
        if isinstance(plan, Failure):
            return plan
        show_progress(plan.text)
        command_id = secrets.token_bytes(_COMMAND_ID_BYTES)
        request = _apply_request(
            command_id,
            target.operator,
            plan,
            options.reason,
        )
        reply = await control.call(request, Applied)
        if isinstance(reply, Failure):
            return _with_retry_advice(reply)
        return await _report_acceptance(control, reply.revision, options)


async def _make_undo_change(
    control: ControlCalls,
    revision: int,
) -> ConfigurationChange | Failure:
    if revision < 1:
        detail = 'only revision 1 and later revisions can be undone'
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


async def _plan_change(
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


def _report_plan(plan: Plan, output: str) -> Report | Failure:
    if output:
        failure = write_plan(pathlib.Path(output), plan)
        if failure is not None:
            return failure
    digest = plan.digest.hex()
    return Report(f'{plan.text}digest: {digest}')


def _apply_request(
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


async def _report_acceptance(
    control: ControlCalls,
    revision: int,
    options: ApplyOptions,
) -> Report | Failure:
    if options.wait:
        return await _wait_until_in_force(control, revision)
    return Report(f'accepted as revision {revision}')


def _with_retry_advice(failure: Failure) -> Failure:
    if exit_code(failure) is not ExitCode.UNREACHABLE:
        return failure
    advice = 'it may have been accepted; repeat the command for its outcome'
    return attrs.evolve(failure, detail=f'{failure.detail}; {advice}')


async def _wait_until_in_force(
    control: ControlCalls, revision: int
) -> Report | Failure:
    deadline = control.clock.now_ms() + _IN_FORCE_TIMEOUT_MS
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
        await control.clock.sleep_ms(_POLL_INTERVAL_MS)
