"""In-memory control, network and entry to test a guard in one process."""

from __future__ import annotations

import contextlib
import random
from typing import Any, TypeVar

import trio
from trio.testing import memory_stream_pair

from borageward.clock import Clock, Milliseconds
from borageward.configuration import (
    encode_configuration,
    initial_configuration,
)
from borageward.controlclient import ControlClient
from borageward.failures import Failure, FailureReason
from borageward.identity import JobId
from borageward.messages import control as wire
from borageward.messages import guard as link
from borageward.messages.task import TaskOutcome
from borageward.transport import Address, FrameConnection, LinkClosed
from borageward.transport.listener import ConnectionHandler
from standins.runner import RunnerStandIn

MessageT = TypeVar('MessageT')

_ROUND_TRIP_S = 0.001
_MS_PER_SECOND = 1000.0


class ControlStandIn:
    """Control replica that answers registrations and heartbeats of guards.

    ``ended`` holds the ended incarnations of entries and ``live`` the
    incarnations of registered guards. While ``cut`` is set, every request
    times out.
    """

    def __init__(self) -> None:
        """Start with no guards; their incarnations get numbers above 100."""
        self.requests: list[Any] = []
        self.ended: list[int] = []
        self.live: set[int] = set()
        self.cut = False
        self.incarnation = 100
        self._document = encode_configuration(initial_configuration())

    async def call(self, request: Any, timeout_ms: Milliseconds) -> Any:
        """Answer one request.

        Fails with ``TIMEOUT`` while ``cut`` is set, and with
        ``INCARNATION_ENDED`` for a heartbeat of an unknown guard.
        """
        await trio.sleep(_ROUND_TRIP_S)
        self.requests.append(request)
        if self.cut:
            await trio.sleep(timeout_ms / _MS_PER_SECOND)
            return Failure(FailureReason.TIMEOUT)
        if isinstance(request, wire.RegisterGuard):
            return self._register()
        if isinstance(request, wire.EndIncarnation):
            self.live.discard(request.incarnation)
            return wire.Done()
        if request.incarnation not in self.live:
            return Failure(FailureReason.INCARNATION_ENDED)
        newly_ended = tuple(self.ended[request.ended_after :])
        return wire.HeartbeatReply(1, b'', newly_ended, len(self.ended), 1)

    async def close(self) -> None:
        """Do nothing, as there is no connection to close."""

    def _register(self) -> wire.Registered:
        self.incarnation += 1
        self.live.add(self.incarnation)
        ended = tuple(self.ended)
        return wire.Registered(
            self.incarnation,
            1,
            self._document,
            ended,
            len(ended),
        )


class MemoryNetwork:
    """Network of one guard, made of memory streams.

    While ``runner_down`` is set, connections to the runner are refused;
    ``connect_s`` is the time until a connection opens or is refused.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        runner: RunnerStandIn,
        control: ControlStandIn,
    ) -> None:
        """Create a network that serves the guard's peers in the nursery."""
        self._nursery = nursery
        self._runner = runner
        self._control = control
        self._handler: ConnectionHandler | None = None
        self.runner_down = False
        self.connect_s = _ROUND_TRIP_S

    async def listen(
        self,
        nursery: trio.Nursery,
        handler: ConnectionHandler,
    ) -> Address:
        """Serve further links with the handler; return a fixed address."""
        self._handler = handler
        return Address('127.0.0.1', 9)

    async def stop_listening(self) -> None:
        """Forget the handler, so that no further link is accepted."""
        self._handler = None

    async def connect_runner(self) -> trio.abc.Stream:
        """Connect to the runner stand-in.

        Raises ``ConnectionRefusedError`` while ``runner_down`` is set.
        """
        await trio.sleep(self.connect_s)
        if self.runner_down:
            raise ConnectionRefusedError('connection refused')
        local, remote = memory_stream_pair()
        self._nursery.start_soon(self._runner.serve, remote)
        return local

    def open_control(
        self,
        clock: Clock,
        nursery: trio.Nursery,
    ) -> ControlClient:
        """Return a client whose only replica is the control stand-in."""
        return ControlClient({'c': self._control}, clock, random.Random(1))

    def dial(self) -> trio.abc.Stream:
        """Open a link to the guard and return the entry's stream."""
        local, remote = memory_stream_pair()
        self._nursery.start_soon(self._handler, remote)
        return local


class EntryStandIn:
    """Entry side of one link; ``received`` keeps every message in order.

    With ``acknowledges``, each finished task is acknowledged at once.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        network: MemoryNetwork,
        incarnation: int,
        acknowledges: bool,
    ) -> None:
        """Create an entry that is not connected yet."""
        self._nursery = nursery
        self._network = network
        self._acknowledges = acknowledges
        self._connection: Any = None
        self.incarnation = incarnation
        self.received: list[Any] = []

    async def connect(self) -> EntryStandIn:
        """Open a link, send ``Hello`` and return this entry."""
        self._connection = FrameConnection(
            self._network.dial(),
            link.GuardToEntry,
        )
        self._nursery.start_soon(self._read, self._connection)
        await self.send(link.Hello(self.incarnation, 'e'))
        await trio.sleep(10 * _ROUND_TRIP_S)
        return self

    async def send(self, message: Any) -> None:
        """Send a message; it is discarded if the link is closed."""
        with contextlib.suppress(LinkClosed):
            await self._connection.send(message)

    async def drop(self) -> None:
        """Close the link."""
        await self._connection.close()

    def of_type(self, message_type: type[MessageT]) -> list[MessageT]:
        """Return the received messages of a type."""
        return [
            item for item in self.received if isinstance(item, message_type)
        ]

    def outcomes(self) -> dict[tuple[JobId, int], TaskOutcome]:
        """Return received outcomes by job and task index.

        Of several outcomes of a task, the last one counts.
        """
        return {
            (item.job_id, item.outcome.index): item.outcome
            for message in self.of_type(link.TasksFinished)
            for item in message.outcomes
        }

    def refusals(self) -> dict[tuple[JobId, int, int], FailureReason]:
        """Return the reasons of refusals by job, task index and attempt."""
        return {
            (message.job_id, index, message.attempt): message.reason
            for message in self.of_type(link.TasksRefused)
            for index in message.indexes
        }

    async def _read(self, connection: Any) -> None:
        with contextlib.suppress(LinkClosed):
            while True:
                message = await connection.receive()
                self.received.append(message)
                if isinstance(message, link.TasksFinished):
                    await self._acknowledge(message)

    async def _acknowledge(self, message: link.TasksFinished) -> None:
        if not self._acknowledges:
            return
        for item in message.outcomes:
            acknowledgement = link.Acknowledge(
                (link.AcknowledgedJob(item.job_id, (item.outcome.index,)),),
            )
            await self.send(acknowledgement)
