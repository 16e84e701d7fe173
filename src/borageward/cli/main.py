"""The ``borageward`` program."""

from __future__ import annotations

import os
import sys
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import defopt
import trio

from borageward.cli import commands, tracing, voters
from borageward.cli.exits import ExitCode, Report, exit_code
from borageward.cli.options import unknown_option
from borageward.cli.output import show_progress
from borageward.failures import Failure
from borageward.language.answer import printable

Outcome: TypeAlias = Report | Failure
Command: TypeAlias = Callable[[], Awaitable[Outcome]]


def main(argv: list[str] | None = None) -> int:
    """Run the command in ``argv``, by default ``sys.argv``.

    Returns the exit code. argparse raises ``SystemExit`` itself for help and
    for wrong arguments.
    """
    try:
        code = _run(argv)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the pipe, such as head, has exited. Redirecting
        # standard output keeps the interpreter from failing on its final
        # flush.
        discarded = os.open(os.devnull, os.O_WRONLY)
        os.dup2(discarded, sys.stdout.fileno())
        return ExitCode.CLOSED_PIPE
    except KeyboardInterrupt:
        show_progress('borageward: interrupted')
        return ExitCode.INTERNAL
    return code


def _run(argv: list[str] | None) -> int:
    arguments = sys.argv[1:] if argv is None else argv
    functions = (
        *commands.COMMANDS.values(),
        *voters.COMMANDS.values(),
        tracing.timeline,
    )
    unknown = unknown_option(arguments, functions)
    if unknown is not None:
        show_progress(f'borageward: unknown option {unknown}')
        return ExitCode.USAGE
    command: Command = defopt.run(
        {
            **commands.COMMANDS,
            'timeline': tracing.timeline,
            'voters': dict(voters.COMMANDS),
        },
        argv=arguments,
        argparse_kwargs={
            'prog': 'borageward',
            'epilog': commands.EXAMPLES,
        },
    )
    outcome = trio.run(command)
    if isinstance(outcome, Failure):
        reason = outcome.reason.value
        detail = printable(outcome.detail)
        show_progress(f'borageward: {reason}: {detail}')
        return exit_code(outcome)
    sys.stdout.write(f'{outcome.text}\n')
    return outcome.code


if __name__ == '__main__':
    sys.exit(main())
