"""Cost of members at control: CPU time, memory and message sizes.

Registers guards at a real control process from a single client process and
reads the CPU time and memory of control from the operating system. Also prints
the encoded sizes of heartbeats and of a configuration with 33 services.
"""

from __future__ import annotations

import functools
import pathlib
import secrets
import tempfile
import time
from collections.abc import Sequence

import attrs
import msgspec
import trio

from bench.report import print_table
from borageward.clock import SystemClock
from borageward.configuration import (
    encode_configuration,
    initial_configuration,
)
from borageward.controlclient import ControlClient, open_frame_client
from borageward.messages.configuration import Batch, SetService
from borageward.messages.control import (
    Heartbeat,
    HeartbeatReply,
    Registered,
    RegisterGuard,
)
from borageward.transport import Address, parse_address
from standins.deployment import Deployment
from standins.processes import LocalProcess

_MEMBER_COUNTS = (100, 300, 600)
_ROUNDS = 5
_INTERVAL_S = 1.0
_TIMEOUT_MS = 10_000.0
_SERVICES_AT_FULL_SIZE = 33
_MS_PER_SECOND = 1000.0
_FRAME_BYTES = 8


@attrs.define
class _Member:
    """Guard registered at control, with the state that it reports."""

    client: ControlClient
    incarnation: int
    revision: int
    ended_through: int


@attrs.frozen(slots=True)
class _Sample:
    """Memory and CPU time of control at a number of members."""

    members: int
    memory_kib: int
    cpu_ms_per_heartbeat: float


def main() -> None:
    """Start control, measure all member counts and print the tables."""
    with tempfile.TemporaryDirectory(prefix='borageward-') as folder:
        deployment = Deployment(
            pathlib.Path(folder),
            controls=1,
            entries=1,
            guards=0,
        )
        try:
            deployment.start()
            _print_samples(trio.run(_measure, deployment))
        finally:
            deployment.stop()
    _print_bytes()


async def _measure(deployment: Deployment) -> list[_Sample]:
    address = parse_address(deployment.control_addresses[0]['member_address'])
    assert isinstance(address, Address)
    control = deployment.controls[0]
    samples = []
    members: list[_Member] = []
    async with trio.open_nursery() as nursery:
        for count in _MEMBER_COUNTS:
            async with trio.open_nursery() as registrations:
                for number in range(len(members), count):
                    registrations.start_soon(
                        _register,
                        address,
                        nursery,
                        number,
                        members,
                    )
            samples.append(await _measure_sample(control, members))
        nursery.cancel_scope.cancel()
    return samples


async def _register(
    address: Address,
    nursery: trio.Nursery,
    number: int,
    members: list[_Member],
) -> None:
    port = number + 1
    client = open_frame_client([address], SystemClock(), nursery)
    reply = await client.call(
        RegisterGuard(
            secrets.token_bytes(16),
            f'worker-{number}',
            'nadi-depot',
            'dispatch',
            f'10.0.0.1:{port}',
            f'10.0.0.1:{port}',
            8,
        ),
        _TIMEOUT_MS,
    )
    assert isinstance(reply, Registered), reply
    members.append(
        _Member(
            client,
            reply.incarnation,
            reply.revision,
            reply.ended_through,
        ),
    )


async def _measure_sample(
    control: LocalProcess,
    members: Sequence[_Member],
) -> _Sample:
    idle_s = await _idle_cpu_seconds(control)
    before = control.cpu_seconds()
    for _ in range(_ROUNDS):
        started = time.monotonic()
        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(_heartbeat, member)
        spent_s = time.monotonic() - started
        await trio.sleep(max(0, _INTERVAL_S - spent_s))
    used_s = control.cpu_seconds() - before - idle_s * _ROUNDS
    per_heartbeat = used_s * _MS_PER_SECOND / (_ROUNDS * len(members))
    return _Sample(len(members), control.memory_kib(), per_heartbeat)


async def _idle_cpu_seconds(control: LocalProcess) -> float:
    """Return the CPU time of control in one second without heartbeats."""
    before = control.cpu_seconds()
    await trio.sleep(_INTERVAL_S)
    return control.cpu_seconds() - before


async def _heartbeat(member: _Member) -> None:
    reply = await member.client.call(
        Heartbeat(member.incarnation, member.revision, member.ended_through),
        _TIMEOUT_MS,
    )
    assert isinstance(reply, HeartbeatReply), reply


def _print_samples(samples: Sequence[_Sample]) -> None:
    first = samples[0]
    last = samples[-1]
    print_table(
        ('members', 'control RSS KiB', 'CPU ms a heartbeat'),
        [
            (sample.members, sample.memory_kib, sample.cpu_ms_per_heartbeat)
            for sample in samples
        ],
    )
    grown_kib = last.memory_kib - first.memory_kib
    print_table(
        ('slope', 'figure'),
        [('memory KiB a member', grown_kib / (last.members - first.members))],
    )


def _print_bytes() -> None:
    encode = functools.partial(msgspec.msgpack.encode)
    heartbeat = len(encode(Heartbeat(1000, 500, 200)))
    reply = len(encode(HeartbeatReply(500, b'', (), 200, 20)))
    configuration = _full_configuration()
    print_table(
        ('message', 'bytes with frame'),
        [
            ('Heartbeat', heartbeat + _FRAME_BYTES),
            ('HeartbeatReply without change', reply + _FRAME_BYTES),
            ('configuration of 33 services', len(configuration)),
        ],
    )


def _full_configuration() -> bytes:
    services = tuple(
        SetService(f'team-{number}', 200, 1.0, 10_000)
        for number in range(_SERVICES_AT_FULL_SIZE)
    )
    changed = initial_configuration().apply(Batch(services))
    return encode_configuration(changed)


if __name__ == '__main__':
    main()
