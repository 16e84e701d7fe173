"""Group commit: many small requests to control in one call."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

import attrs
import trio

from borageward.clock import Milliseconds
from borageward.failures import Failure, FailureReason
from borageward.messages.control import ControlReply, ControlRequest

_MAX_BATCH = 1000
_MS_PER_SECOND = 1000.0

ItemT = TypeVar('ItemT')
AnswerT = TypeVar('AnswerT')


class Control(Protocol):
    """The control replicas as an entry calls them."""

    async def call(
        self,
        request: ControlRequest,
        timeout_ms: Milliseconds,
    ) -> ControlReply | Failure:
        """Return the reply of the leader, or a failure."""

    async def close(self) -> None:
        """Close the links to all replicas."""


@attrs.frozen(slots=True)
class BatchKind(Generic[ItemT, AnswerT]):
    """How a batch becomes a request and its reply one answer for each item.

    ``answers`` returns nothing for a reply of another type.
    """

    request: Callable[[tuple[ItemT, ...]], ControlRequest]
    answers: Callable[[Any], tuple[AnswerT, ...] | None]
    timeout_ms: Milliseconds
    wait_ms: Milliseconds = 0


@attrs.define(slots=True, eq=False)
class _Waiter(Generic[ItemT, AnswerT]):
    item: ItemT
    done: trio.Event = attrs.field(factory=trio.Event)
    answer: AnswerT | Failure = Failure(FailureReason.TIMEOUT)


class Batcher(Generic[ItemT, AnswerT]):
    """Send everything that arrives during a call with the next call."""

    def __init__(
        self,
        control: Control,
        kind: BatchKind[ItemT, AnswerT],
    ) -> None:
        """Prepare a batcher; ``run`` sends the batches."""
        self._control = control
        self._kind = kind
        self._waiting: list[_Waiter[ItemT, AnswerT]] = []
        self._wake = trio.Event()

    async def ask(self, item: ItemT) -> AnswerT | Failure:
        """Return the answer of an item, or why the call failed.

        A call that failed without an answer may have taken effect.
        """
        waiter: _Waiter[ItemT, AnswerT] = _Waiter(item)
        self._waiting.append(waiter)
        self._wake.set()
        await waiter.done.wait()
        return waiter.answer

    async def run(self) -> None:
        """Send batches, one call at a time."""
        while True:
            await self._wake.wait()
            if self._kind.wait_ms:
                await trio.sleep(self._kind.wait_ms / _MS_PER_SECOND)
            await self._send()
            if not self._waiting:
                self._wake = trio.Event()

    async def _send(self) -> None:
        batch = self._waiting[:_MAX_BATCH]
        self._waiting = self._waiting[_MAX_BATCH:]
        if not batch:
            return
        reply = await self._control.call(
            self._kind.request(tuple(waiter.item for waiter in batch)),
            self._kind.timeout_ms,
        )
        if isinstance(reply, Failure):
            _settle(batch, reply)
            return
        answers = self._kind.answers(reply)
        if answers is None or len(answers) != len(batch):
            _settle(batch, Failure(FailureReason.MALFORMED_MESSAGE))
            return
        for waiter, answer in zip(batch, answers, strict=True):
            waiter.answer = answer
            waiter.done.set()


def _settle(batch: list[_Waiter[Any, Any]], failure: Failure) -> None:
    for waiter in batch:
        waiter.answer = failure
        waiter.done.set()
