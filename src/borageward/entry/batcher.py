"""Group commit: combines small requests to control into one call."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

import attrs
import trio

from borageward.clock import Milliseconds
from borageward.failures import Failure, FailureReason
from borageward.messages.control import ControlReply, ControlRequest

_MAX_BATCH_ITEMS = 1000
_MS_PER_SECOND = 1000.0

ItemT = TypeVar('ItemT')
AnswerT = TypeVar('AnswerT')


class Control(Protocol):
    """Client of the control replicas, as far as an entry uses it."""

    async def call(
        self,
        request: ControlRequest,
        timeout_ms: Milliseconds,
    ) -> ControlReply | Failure:
        """Return the reply of the leader, or why there is none.

        After a failure the request may have taken effect.
        """

    async def close(self) -> None:
        """Close the connections to all replicas."""


@attrs.frozen(slots=True)
class BatchKind(Generic[ItemT, AnswerT]):
    """Conversion of items to a request, and of its reply to answers.

    ``request`` combines the items of a batch into one request. ``answers``
    returns one answer for each item, in the order of the items, or ``None``
    for a reply of an unexpected type. A batch waits ``wait_ms`` for further
    items before it is sent; ``timeout_ms`` bounds the call.
    """

    request: Callable[[tuple[ItemT, ...]], ControlRequest]
    answers: Callable[[Any], tuple[AnswerT, ...] | None]
    timeout_ms: Milliseconds
    wait_ms: Milliseconds = 0


@attrs.define(slots=True, eq=False)
class _PendingItem(Generic[ItemT, AnswerT]):
    item: ItemT
    done: trio.Event = attrs.field(factory=trio.Event)
    answer: AnswerT | Failure = Failure(FailureReason.TIMEOUT)


class Batcher(Generic[ItemT, AnswerT]):
    """Sends the items that arrive during one call together in the next."""

    def __init__(
        self,
        control: Control,
        kind: BatchKind[ItemT, AnswerT],
    ) -> None:
        """Prepare a batcher; nothing is sent until ``run`` is started."""
        self._control = control
        self._kind = kind
        self._pending: list[_PendingItem[ItemT, AnswerT]] = []
        self._item_added = trio.Event()

    async def submit(self, item: ItemT) -> AnswerT | Failure:
        """Send an item with the next batch and return its answer.

        Returns the failure of the call, or ``MALFORMED_MESSAGE`` for a reply
        that does not fit the batch. After a failure the request may have
        taken effect.
        """
        pending: _PendingItem[ItemT, AnswerT] = _PendingItem(item)
        self._pending.append(pending)
        self._item_added.set()
        await pending.done.wait()
        return pending.answer

    async def run(self) -> None:
        """Send batches until cancelled, one call at a time."""
        while True:
            await self._item_added.wait()
            if self._kind.wait_ms:
                await trio.sleep(self._kind.wait_ms / _MS_PER_SECOND)
            await self._send()
            if not self._pending:
                self._item_added = trio.Event()

    async def _send(self) -> None:
        batch = self._pending[:_MAX_BATCH_ITEMS]
        self._pending = self._pending[_MAX_BATCH_ITEMS:]
        if not batch:
            return
        reply = await self._control.call(
            self._kind.request(tuple(pending.item for pending in batch)),
            self._kind.timeout_ms,
        )
        if isinstance(reply, Failure):
            _fail_batch(batch, reply)
            return
        answers = self._kind.answers(reply)
        if answers is None or len(answers) != len(batch):
            _fail_batch(batch, Failure(FailureReason.MALFORMED_MESSAGE))
            return
        for pending, answer in zip(batch, answers, strict=True):
            pending.answer = answer
            pending.done.set()


def _fail_batch(batch: list[_PendingItem[Any, Any]], failure: Failure) -> None:
    for pending in batch:
        pending.answer = failure
        pending.done.set()
