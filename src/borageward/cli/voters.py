"""Sub-commands that change the voters and learners of the control log."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from types import MappingProxyType

from borageward.cli.commands import Command, on_target
from borageward.cli.controlcalls import open_control
from borageward.cli.exits import Report
from borageward.cli.target import Target, open_target
from borageward.failures import Failure
from borageward.messages.control import (
    AddLearner,
    Done,
    PromoteVoter,
    RemoveVoter,
)


def add(
    voter_id: str,
    address: str,
    member_address: str,
    *,
    settings: str = '',
    control: str = '',
) -> Command:
    """Add a replica as a learner, which has no vote.

    :param voter_id: identity of the replica, never used before
    :param address: gRPC address of the replica
    :param member_address: address of the replica for guards (frame protocol)
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    request = AddLearner(voter_id, address, member_address)
    return on_target(
        open_target(settings, control, ''),
        partial(_change_voters, request=request),
    )


def promote(
    voter_id: str,
    *,
    settings: str = '',
    control: str = '',
) -> Command:
    """Make a learner that has caught up a voter.

    :param voter_id: identity of the learner
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    return on_target(
        open_target(settings, control, ''),
        partial(_change_voters, request=PromoteVoter(voter_id)),
    )


def remove(
    voter_id: str,
    *,
    settings: str = '',
    control: str = '',
) -> Command:
    """Remove a replica from the voters or learners.

    :param voter_id: identity of the replica
    :param settings: settings file; by default BORAGEWARD_SETTINGS
    :param control: gRPC addresses of control, separated by commas
    """
    return on_target(
        open_target(settings, control, ''),
        partial(_change_voters, request=RemoveVoter(voter_id)),
    )


async def _change_voters(
    target: Target,
    request: AddLearner | PromoteVoter | RemoveVoter,
) -> Report | Failure:
    async with open_control(target) as control:
        reply = await control.call(request, Done)
    if isinstance(reply, Failure):
        return reply
    return Report(f'{type(request).__name__} {request.voter_id}: accepted')


COMMANDS: Mapping[str, Callable[..., Command]] = MappingProxyType(
    {'add': add, 'promote': promote, 'remove': remove}
)
