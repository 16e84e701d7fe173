"""Command ids kept beside a plan file.

A command whose answer was lost is repeated under its first id and gets its
first outcome. A refused command is over; the next try is a new command.
"""

from __future__ import annotations

import pathlib
import secrets

from borageward.cli.exits import ExitCode, exit_code
from borageward.failures import Failure, FailureReason

_ID_BYTES = 16


class CommandId:
    """Id of one action on one plan file."""

    def __init__(self, plan: pathlib.Path, action: str) -> None:
        """Use the file ``PLAN.ACTION-id`` beside the plan."""
        self._path = plan.with_name(f'{plan.name}.{action}-id')

    def claim(self) -> bytes | Failure:
        """Return the id of the action, a new one unless it was tried."""
        try:
            return self._read()
        except FileNotFoundError:
            return self._write()
        except (OSError, ValueError) as error:
            return self._invalid(error)

    def settle(self, outcome: object) -> None:
        """Forget the id when the outcome is a refusal that is known."""
        if not isinstance(outcome, Failure):
            return
        if exit_code(outcome) is not ExitCode.UNREACHABLE:
            self._path.unlink(missing_ok=True)

    def _read(self) -> bytes:
        command_id = bytes.fromhex(self._path.read_text(encoding='ascii'))
        if len(command_id) != _ID_BYTES:
            raise ValueError('not a command id')
        return command_id

    def _write(self) -> bytes | Failure:
        command_id = secrets.token_bytes(_ID_BYTES)
        try:
            self._path.write_text(command_id.hex(), encoding='ascii')
        except OSError as error:
            return self._invalid(error)
        return command_id

    def _invalid(self, error: Exception) -> Failure:
        return Failure(
            FailureReason.INVALID_REQUEST,
            f'{self._path}: {error}',
        )
