"""Sub-commands; each returns an asynchronous function that carries it out.

``defopt`` derives the arguments, options and help texts from the signatures
and docstrings.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from types import MappingProxyType
from typing import Any, TypeAlias

from borageward.cli import changes, reading
from borageward.cli.exits import Report
from borageward.cli.planfile import parse_change
from borageward.cli.target import Target, open_target
from borageward.failures import Failure
from borageward.language import AnswerFormat
from borageward.messages.configuration import SetDrained

Command: TypeAlias = Callable[[], Awaitable[Report | Failure]]
EXAMPLES = (
    'examples: '
    'borageward query "show waiting jobs of dispatch older than 2 s" | '
    'borageward plan "set quota of dispatch to 40 slots" --output plan.json | '
    'borageward approve plan.json | '
    'borageward apply plan.json --reason "night shift" --wait'
)


def query(
    sentence: str,
    *,
    form: AnswerFormat = AnswerFormat.TABLE,
    settings: str = '',
    control: str = '',
    entry: str = '',
) -> Command:
    """Show jobs, workers, members or the configuration, or cancel a job.

    :param sentence: query or "cancel", e.g. "show workers in nadi-depot"
    :param form: output format
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    :param entry: HTTP addresses of entries, separated by commas
    """
    return on_target(
        open_target(settings, control, entry),
        partial(reading.answer_query, sentence=sentence, form=form),
    )


def plan(
    sentence: str,
    *,
    output: str = '',
    settings: str = '',
    control: str = '',
) -> Command:
    """Show the effects of a configuration change without applying it.

    :param sentence: change, e.g. "set quota of dispatch to 40 slots"
    :param output: new file for the plan, for "approve" and "apply"
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    change = parse_change(sentence)
    if isinstance(change, Failure):
        return partial(_return_failure, change)
    return on_target(
        open_target(settings, control, ''),
        partial(changes.plan_change, change=change, output=output),
    )


def approve(plan: str, *, settings: str = '', control: str = '') -> Command:
    """Approve a plan; the approval holds for exactly the text in the file.

    :param plan: plan file, as written by "plan" or "undo"
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    return on_target(
        open_target(settings, control, ''),
        partial(changes.approve_plan, path=plan),
    )


def apply(  # noqa: WPS125
    plan: str,
    *,
    reason: str,
    wait: bool = False,
    settings: str = '',
    control: str = '',
) -> Command:
    """Apply a plan, unless another change was accepted since it was made.

    :param plan: plan file, as written by "plan" or "undo"
    :param reason: why the change is made, stored in the history
    :param wait: wait until the change is in force at all live processes
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    options = changes.ApplyOptions(reason, wait)
    return on_target(
        open_target(settings, control, ''),
        partial(changes.apply_plan, path=plan, options=options),
    )


def undo(
    revision: int,
    *,
    output: str = '',
    settings: str = '',
    control: str = '',
) -> Command:
    """Plan a new change that reverts a revision.

    :param revision: number of the revision to revert
    :param output: new file for the plan, for "approve" and "apply"
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    return on_target(
        open_target(settings, control, ''),
        partial(changes.plan_undo, revision=revision, output=output),
    )


def drain(
    worker: str,
    *,
    reason: str,
    wait: bool = False,
    settings: str = '',
    control: str = '',
) -> Command:
    """Stop new work on a worker; work that it has accepted is finished.

    :param worker: name of the worker, as "show workers" prints it
    :param reason: why the change is made, stored in the history
    :param wait: wait until the change is in force at all live processes
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    change = SetDrained(worker, drained=True)
    options = changes.ApplyOptions(reason, wait)
    return on_target(
        open_target(settings, control, ''),
        partial(changes.apply_change, change=change, options=options),
    )


def history(
    *,
    limit: int = 20,
    settings: str = '',
    control: str = '',
) -> Command:
    """List the latest configuration changes, newest first.

    :param limit: largest number of changes to list
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    return on_target(
        open_target(settings, control, ''),
        partial(reading.read_history, limit=limit),
    )


def show(
    *,
    revision: int = 0,
    settings: str = '',
    control: str = '',
) -> Command:
    """Show the configuration of a revision as JSON.

    :param revision: number of the revision; 0 means the newest
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    return on_target(
        open_target(settings, control, ''),
        partial(reading.show_revision, number=revision),
    )


def status(*, settings: str = '', control: str = '') -> Command:
    """Show the state of each control replica, with or without a leader.

    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    return on_target(
        open_target(settings, control, ''),
        reading.read_status,
    )


def on_target(
    target: Target | Failure,
    action: Callable[..., Awaitable[Any]],
) -> Command:
    """Return the command that calls an action with a target.

    If the target is a failure, the command returns that failure.
    """
    if isinstance(target, Failure):
        return partial(_return_failure, target)
    return partial(action, target)


async def _return_failure(failure: Failure) -> Failure:
    return failure


COMMANDS: Mapping[str, Callable[..., Command]] = MappingProxyType(
    {
        'query': query,
        'plan': plan,
        'approve': approve,
        'apply': apply,
        'undo': undo,
        'drain': drain,
        'history': history,
        'show': show,
        'status': status,
    }
)
