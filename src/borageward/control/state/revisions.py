"""Configuration revisions, plan approvals and outcomes of commands."""

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

# At 480 changes a day this keeps three weeks of history and of outcomes.
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
    """The configuration and its history.

    Every change creates the next revision; a revision that was created never
    changes. Only the newest revisions are kept.

    The first outcome of each command is kept as well, so that a command that
    is sent again takes effect once and gets the same reply.
    """

    def __init__(self) -> None:
        """Create a history that starts with the initial configuration."""
        configuration = initial_configuration()
        document = encode_configuration(configuration)
        self._configuration = configuration
        self._records = deque((RevisionRecord(_INITIAL, document),))
        self._approvals: dict[bytes, Approve] = {}
        self._commands: dict[bytes, CommandOutcome] = {}

    @property
    def revision(self) -> int:
        """Return the number of the newest revision."""
        return self._records[-1].history.revision

    @property
    def configuration(self) -> Configuration:
        """Return the configuration of the newest revision."""
        return self._configuration

    def document(self, revision: int) -> bytes | None:
        """Return a configuration as JSON, or ``None`` if it is not kept."""
        record = self._find_record(revision)
        return None if record is None else record.document

    def history(self, limit: int) -> tuple[HistoryItem, ...]:
        """Return up to ``limit`` changes, newest first."""
        count = max(0, limit)
        newest = itertools.islice(reversed(self._records), count)
        return tuple(record.history for record in newest)

    def apply(self, request: ApplyChange, wall_ms: int) -> Outcome:
        """Apply a change, or return the first outcome of the same command.

        Returns ``RevisionConflict`` if the change is not based on the newest
        revision, and ``Rejected`` if a required approval is missing, the
        change is invalid, or the command id belongs to another command.
        """
        previous = self._previous_outcome(request)
        if previous is not None:
            return previous
        outcome = self._compare_and_set(request, wall_ms)
        self._store_outcome(request, outcome)
        return outcome

    def approve(self, request: Approve) -> Outcome:
        """Record an approval of a plan that is based on the newest revision.

        Returns ``RevisionConflict`` if the plan has another base revision, and
        ``Rejected`` if the command id belongs to another command.
        """
        previous = self._previous_outcome(request)
        if previous is not None:
            return previous
        outcome: Outcome = Done()
        if request.base_revision == self.revision:
            self._approvals[request.plan_digest] = request
        else:
            outcome = self._conflict(request.base_revision)
        self._store_outcome(request, outcome)
        return outcome

    def snapshot(self) -> RevisionsSnapshot:
        """Return revisions, approvals and outcomes in snapshot form."""
        return RevisionsSnapshot(
            tuple(self._records),
            tuple(self._approvals.values()),
            tuple(self._commands.values()),
        )

    def restore(self, snapshot: RevisionsSnapshot) -> Failure | None:
        """Replace revisions, approvals and outcomes by those of a snapshot.

        Returns ``INVALID_CHANGE``, and keeps the former state, if the
        configuration cannot be decoded.
        """
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
        self._append_revision(request, changed, approver, wall_ms)
        return Applied(self.revision)

    def _approval_refusal(
        self,
        request: ApplyChange,
        approval: Approve | None,
    ) -> Rejected | None:
        if approval is None and self._approvals and request.plan_digest:
            return Rejected(
                FailureReason.APPROVAL_MISMATCH,
                'the recorded approval is for another plan',
            )
        if approval is None or not request.plan_digest:
            return Rejected(
                FailureReason.APPROVAL_REQUIRED,
                'this plan is not approved for the newest revision',
            )
        # Importing the language takes a third of the start time of a replica,
        # so it is imported only when an approval has to be checked.
        from borageward.language.plan import plan_covers  # noqa: WPS433

        if not plan_covers(request):
            return Rejected(
                FailureReason.APPROVAL_MISMATCH,
                'the requested change is not the one in the approved plan',
            )
        return None

    def _append_revision(
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
        # An approval holds only for the base revision of its plan.
        self._approvals.clear()
        if len(self._records) > _MAX_REVISIONS:
            self._records.popleft()

    def _conflict(self, base_revision: int) -> RevisionConflict:
        winner = self._find_record(base_revision + 1) or self._records[-1]
        return RevisionConflict(
            winner.history.revision,
            winner.history.author,
            winner.history.reason,
            winner.history.wall_ms,
        )

    def _find_record(self, revision: int) -> RevisionRecord | None:
        number = revision - self._records[0].history.revision
        if 0 <= number < len(self._records):
            return self._records[number]
        return None

    def _previous_outcome(
        self, request: ApplyChange | Approve
    ) -> Outcome | None:
        command = self._commands.get(request.command_id)
        if command is None:
            return None
        if command.body_digest != _digest(request):
            return Rejected(
                FailureReason.INVALID_REQUEST,
                'the command id was already used for another command',
            )
        return command.outcome

    def _store_outcome(
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
