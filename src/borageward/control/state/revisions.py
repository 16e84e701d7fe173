"""Configuration revisions, approvals and outcomes of commands."""

from __future__ import annotations

import itertools
from collections import deque
from typing import TypeAlias

import msgspec

from borageward.configuration import (
    Configuration,
    decode_configuration,
    encode_configuration,
    initial_configuration,
)
from borageward.control.state.snapshot import (
    CommandOutcome,
    RevisionRecord,
    RevisionsSnapshot,
)
from borageward.failures import Failure, FailureReason
from borageward.identity import body_digest
from borageward.messages.base import Rejected
from borageward.messages.control import (
    Applied,
    ApplyChange,
    Approve,
    Done,
    HistoryItem,
    RevisionConflict,
)

Outcome: TypeAlias = Applied | RevisionConflict | Done | Rejected

# 480 changes a day keep three weeks of history and of command outcomes.
_MAX_REVISIONS = 10_000
_MAX_COMMANDS = 10_000

_INITIAL = HistoryItem(
    revision=0,
    author='',
    approver='',
    reason='initial configuration',
    wall_ms=0,
    change=None,
)

_encoder = msgspec.msgpack.Encoder()


class Revisions:
    """The configuration aggregate over time.

    A revision is never replaced and the newest one never goes back.
    """

    def __init__(self) -> None:
        """Start with the initial configuration as revision zero."""
        configuration = initial_configuration()
        document = encode_configuration(configuration)
        self._configuration = configuration
        self._records = deque((RevisionRecord(_INITIAL, document),))
        self._approvals: dict[bytes, Approve] = {}
        self._commands: dict[bytes, CommandOutcome] = {}

    @property
    def revision(self) -> int:
        """Return the newest revision."""
        return self._records[-1].history.revision

    @property
    def configuration(self) -> Configuration:
        """Return the newest configuration."""
        return self._configuration

    def document(self, revision: int) -> bytes | None:
        """Return the JSON of a revision, or nothing when not kept."""
        record = self._record(revision)
        return None if record is None else record.document

    def history(self, limit: int) -> tuple[HistoryItem, ...]:
        """Return the newest changes, newest first."""
        count = max(0, limit)
        newest = itertools.islice(reversed(self._records), count)
        return tuple(record.history for record in newest)

    def apply(self, request: ApplyChange, wall_ms: int) -> Outcome:
        """Change the configuration, or return the command's first outcome."""
        known = self._known(request)
        if known is not None:
            return known
        outcome = self._compare_and_set(request, wall_ms)
        self._remember(request, outcome)
        return outcome

    def approve(self, request: Approve) -> Outcome:
        """Record an approval for the newest revision."""
        known = self._known(request)
        if known is not None:
            return known
        outcome: Outcome = Done()
        if request.base_revision == self.revision:
            self._approvals[request.plan_digest] = request
        else:
            outcome = self._conflict(request.base_revision)
        self._remember(request, outcome)
        return outcome

    def snapshot(self) -> RevisionsSnapshot:
        """Return the state as a snapshot."""
        return RevisionsSnapshot(
            tuple(self._records),
            tuple(self._approvals.values()),
            tuple(self._commands.values()),
        )

    def restore(self, snapshot: RevisionsSnapshot) -> Failure | None:
        """Replace the state by that of a snapshot."""
        newest = snapshot.revisions[-1]
        configuration = decode_configuration(newest.document)
        if isinstance(configuration, Failure):
            return configuration
        self._configuration = configuration
        self._records = deque(snapshot.revisions)
        self._approvals = {
            approval.plan_digest: approval for approval in snapshot.approvals
        }
        self._commands = {
            command.command_id: command for command in snapshot.commands
        }
        return None

    def _compare_and_set(self, request: ApplyChange, wall_ms: int) -> Outcome:
        if request.base_revision != self.revision:
            return self._conflict(request.base_revision)
        approval = self._approvals.get(request.plan_digest)
        if self._configuration.approval_required:
            refusal = self._approval_refusal(request, approval)
            if refusal is not None:
                return refusal
        changed = self._configuration.apply(request.change)
        if isinstance(changed, Failure):
            return Rejected.of(changed)
        approver = '' if approval is None else approval.approver
        self._add(request, changed, approver, wall_ms)
        return Applied(self.revision)

    def _approval_refusal(
        self,
        request: ApplyChange,
        approval: Approve | None,
    ) -> Rejected | None:
        if approval is None and self._approvals and request.plan_digest:
            return Rejected(
                FailureReason.APPROVAL_MISMATCH,
                'the approval is for another plan',
            )
        if approval is None or not request.plan_digest:
            return Rejected(
                FailureReason.APPROVAL_REQUIRED,
                'this plan is not approved for the newest revision',
            )
        # Loading the language takes a third of a replica's start.
        from borageward.language.plan import plan_covers  # noqa: WPS433

        if not plan_covers(request):
            return Rejected(
                FailureReason.APPROVAL_MISMATCH,
                'the approved plan states another change',
            )
        return None

    def _add(
        self,
        request: ApplyChange,
        changed: Configuration,
        approver: str,
        wall_ms: int,
    ) -> None:
        item = HistoryItem(
            self.revision + 1,
            request.author,
            approver,
            request.reason,
            wall_ms,
            request.change,
        )
        document = encode_configuration(changed)
        self._configuration = changed
        self._records.append(RevisionRecord(item, document))
        # An approval holds for the revision that its plan was made for.
        self._approvals.clear()
        if len(self._records) > _MAX_REVISIONS:
            self._records.popleft()

    def _conflict(self, base_revision: int) -> RevisionConflict:
        winner = self._record(base_revision + 1) or self._records[-1]
        return RevisionConflict(
            winner.history.revision,
            winner.history.author,
            winner.history.reason,
            winner.history.wall_ms,
        )

    def _record(self, revision: int) -> RevisionRecord | None:
        number = revision - self._records[0].history.revision
        if 0 <= number < len(self._records):
            return self._records[number]
        return None

    def _known(self, request: ApplyChange | Approve) -> Outcome | None:
        command = self._commands.get(request.command_id)
        if command is None:
            return None
        if command.body_digest != _digest(request):
            return Rejected(
                FailureReason.INVALID_REQUEST,
                'the command id was used for another command',
            )
        return command.outcome

    def _remember(
        self,
        request: ApplyChange | Approve,
        outcome: Outcome,
    ) -> None:
        self._commands[request.command_id] = CommandOutcome(
            request.command_id,
            _digest(request),
            outcome,
        )
        if len(self._commands) > _MAX_COMMANDS:
            self._commands.pop(next(iter(self._commands)))


def _digest(request: ApplyChange | Approve) -> bytes:
    return body_digest(_encoder.encode(request))
