"""Command ids stored in files beside a plan file.

Control executes a command id once. If the reply was lost, repeating the
command under the stored id returns the outcome of the first attempt. After a
refusal the id is deleted, so that the next attempt is a new command.
"""

from __future__ import annotations

import pathlib
import secrets

from borageward.cli.exits import ExitCode, exit_code
from borageward.failures import Failure, FailureReason

_COMMAND_ID_BYTES = 16


class CommandId:
    """Stored command id of one action, such as apply, on one plan file."""

    def __init__(self, plan: pathlib.Path, action: str) -> None:
        """Store the id in the file ``PLAN.ACTION-id`` beside the plan."""
        self._path = plan.with_name(f'{plan.name}.{action}-id')

    def claim(self) -> bytes | Failure:
        """Return the stored id, or create and store one.

        Returns ``INVALID_REQUEST`` if the file cannot be read or written, or
        holds something else.
        """
        try:
            return self._read_id()
        except FileNotFoundError:
            return self._write_new_id()
        except (OSError, ValueError) as error:
            return self._unusable_file(error)

    def settle(self, outcome: object) -> None:
        """Delete the stored id if the command was refused.

        The id is kept after a success, and after a failure that leaves the
        outcome unknown, such as a lost reply.
        """
        if not isinstance(outcome, Failure):
            return
        if exit_code(outcome) is not ExitCode.UNREACHABLE:
            self._path.unlink(missing_ok=True)

    def _read_id(self) -> bytes:
        command_id = bytes.fromhex(self._path.read_text(encoding='ascii'))
        if len(command_id) != _COMMAND_ID_BYTES:
            raise ValueError('file does not hold a command id')
        return command_id

    def _write_new_id(self) -> bytes | Failure:
        command_id = secrets.token_bytes(_COMMAND_ID_BYTES)
        try:
            self._path.write_text(command_id.hex(), encoding='ascii')
        except OSError as error:
            return self._unusable_file(error)
        return command_id

    def _unusable_file(self, error: Exception) -> Failure:
        return Failure(
            FailureReason.INVALID_REQUEST,
            f'{self._path}: {error}',
        )
