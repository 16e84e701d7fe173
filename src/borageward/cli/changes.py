"""Commands that plan, approve, apply and undo changes."""

from __future__ import annotations

import pathlib

import attrs

from borageward.cli.controlcalls import ControlCalls, open_control
from borageward.cli.exits import ExitCode, Report
from borageward.cli.output import show_progress
from borageward.cli.planfile import command_id, read_plan, write_plan
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
    request = Approve(
        command_id('approve', target.operator, plan),
        plan.digest,
        plan.base_revision,
        target.operator,
    )
    async with open_control(target) as control:
        reply = await control.call(request, Done)
    if isinstance(reply, Failure):
        return reply
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
    async with open_control(target) as control:
        return await _apply(control, target.operator, plan, application)


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
        return await _apply(control, target.operator, plan, application)


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


async def _apply(
    control: ControlCalls,
    operator: str,
    plan: Plan,
    application: Application,
) -> Report | Failure:
    request = ApplyChange(
        command_id('apply', operator, plan),
        plan.base_revision,
        plan.change,
        operator,
        application.reason,
        plan.digest,
        plan.text,
    )
    reply = await control.call(request, Applied)
    if isinstance(reply, Failure):
        return _explained(reply)
    if application.wait:
        return await _wait(control, reply.revision)
    return Report(f'accepted as revision {reply.revision}')


def _explained(failure: Failure) -> Failure:
    if failure.reason not in {FailureReason.TIMEOUT, FailureReason.LINK_BROKEN}:
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
