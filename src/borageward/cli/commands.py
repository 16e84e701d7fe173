"""Sub-commands; each returns the coroutine function that carries it out."""

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

    :param sentence: for example "show workers in nadi-depot"
    :param form: form of the answer
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
    """Describe what a change does, without making it.

    :param sentence: for example "set quota of dispatch to 40 slots"
    :param output: new file for the plan, to approve and apply it
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    change = parse_change(sentence)
    if isinstance(change, Failure):
        return partial(_give, change)
    return on_target(
        open_target(settings, control, ''),
        partial(changes.plan_change, change=change, output=output),
    )


def approve(plan: str, *, settings: str = '', control: str = '') -> Command:
    """Approve exactly the text of a plan.

    :param plan: plan file
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
    """Make the change of a plan, unless another change came first.

    :param plan: plan file
    :param reason: why the change is made, kept in the history
    :param wait: wait until the change is in force everywhere
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    application = changes.Application(reason, wait)
    return on_target(
        open_target(settings, control, ''),
        partial(changes.apply_plan, path=plan, application=application),
    )


def undo(
    revision: int,
    *,
    output: str = '',
    settings: str = '',
    control: str = '',
) -> Command:
    """Plan a new change that takes a revision back.

    :param revision: revision to take back
    :param output: new file for the plan, to approve and apply it
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
    """Let a worker take no new work; what it has accepted is finished.

    :param worker: worker, as "show workers" names it
    :param reason: why the change is made, kept in the history
    :param wait: wait until the change is in force everywhere
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    change = SetDrained(worker, drained=True)
    application = changes.Application(reason, wait)
    return on_target(
        open_target(settings, control, ''),
        partial(changes.apply_change, change=change, application=application),
    )


def history(
    *,
    limit: int = 20,
    settings: str = '',
    control: str = '',
) -> Command:
    """List the newest changes: who, when, why and what.

    :param limit: number of changes
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

    :param revision: revision; 0 is the newest
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    return on_target(
        open_target(settings, control, ''),
        partial(reading.show_revision, number=revision),
    )


def status(*, settings: str = '', control: str = '') -> Command:
    """Show the state of each control replica.

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
    """Return the command that carries out an action on a target."""
    if isinstance(target, Failure):
        return partial(_give, target)
    return partial(action, target)


async def _give(failure: Failure) -> Failure:
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
