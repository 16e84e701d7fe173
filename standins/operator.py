"""Direct configuration changes for tests and the quickstart.

They bypass the plans through which operators change a configuration.
"""

from __future__ import annotations

import secrets
from collections.abc import Sequence

import trio

from borageward.clock import SystemClock
from borageward.controlclient import open_grpc_client
from borageward.failures import Failure
from borageward.messages.configuration import (
    ConfigurationChange,
    SetService,
)
from borageward.messages.control import (
    ApplyChange,
    ControlReply,
    ControlRequest,
)
from borageward.transport import Address, parse_address

# Long, because the first election takes a while on a busy machine; it only has
# to end a request that hangs.
_TIMEOUT_MS = 30_000.0
_COMMAND_ID_BYTES = 16


def ask_control(
    addresses: Sequence[str],
    request: ControlRequest,
    timeout_ms: float = _TIMEOUT_MS,
) -> ControlReply | Failure:
    """Send one request to control and return the reply or the failure.

    Addresses that cannot be parsed are ignored.
    """
    return trio.run(_call_control, addresses, request, timeout_ms)


def apply_change(
    addresses: Sequence[str],
    change: ConfigurationChange,
    base_revision: int,
) -> ControlReply | Failure:
    """Apply a change on top of a revision and return the reply or failure.

    If another revision is in force, the reply is a ``RevisionConflict``.
    """
    request = ApplyChange(
        secrets.token_bytes(_COMMAND_ID_BYTES),
        base_revision,
        change,
        'test-operator',
        'set up',
    )
    return ask_control(addresses, request)


def create_service(addresses: Sequence[str], name: str) -> None:
    """Create the first service of a new deployment.

    Raises ``RuntimeError`` if control reports a failure.
    """
    change = SetService(name, quota_slots=24, weight=1.0, deadline_ms=10_000)
    reply = apply_change(addresses, change, base_revision=0)
    if isinstance(reply, Failure):
        raise RuntimeError(f'cannot create service {name}: {reply}')


async def _call_control(
    addresses: Sequence[str],
    request: ControlRequest,
    timeout_ms: float,
) -> ControlReply | Failure:
    parsed = [parse_address(address) for address in addresses]
    valid = [address for address in parsed if isinstance(address, Address)]
    client = open_grpc_client(valid, SystemClock())
    try:
        return await client.call(request, timeout_ms)
    finally:
        await client.close()
