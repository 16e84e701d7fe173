"""Exit codes of the command line and their mapping from failures."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from types import MappingProxyType

import attrs

from borageward.failures import Failure, FailureReason


class ExitCode(enum.IntEnum):
    """Exit codes of ``borageward``, as documented in docs/cli.md."""

    DONE = 0
    INTERNAL = 1
    # The exit code of argparse for wrong arguments and unknown options.
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNREACHABLE = 5
    INCOMPLETE = 6
    NOT_IN_FORCE = 7
    # 128 plus the number of SIGPIPE, as shells report a process that the
    # signal has ended.
    CLOSED_PIPE = 141


@attrs.frozen(slots=True)
class Report:
    """Result of a command: the text for standard output and the exit code."""

    text: str
    code: ExitCode = ExitCode.DONE


_CODES: Mapping[FailureReason, ExitCode] = MappingProxyType(
    {
        FailureReason.INVALID_REQUEST: ExitCode.USAGE,
        FailureReason.INVALID_CHANGE: ExitCode.USAGE,
        FailureReason.UNKNOWN_JOB: ExitCode.USAGE,
        FailureReason.REVISION_CONFLICT: ExitCode.CONFLICT,
        FailureReason.TIMEOUT: ExitCode.UNREACHABLE,
        FailureReason.LINK_BROKEN: ExitCode.UNREACHABLE,
        FailureReason.NO_QUORUM: ExitCode.UNREACHABLE,
        FailureReason.NOT_LEADER: ExitCode.UNREACHABLE,
    }
)


def exit_code(failure: Failure) -> ExitCode:
    """Return the exit code of a failure; ``REFUSED`` unless mapped."""
    return _CODES.get(failure.reason, ExitCode.REFUSED)
