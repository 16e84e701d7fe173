"""Command line of ``boragewardd``.

It is parsed with argparse instead of defopt, because defopt adds 7.6 MiB to
the resident memory of a guard, which is limited to 32 MB.
"""

from __future__ import annotations

import argparse
import pathlib
import sys
from collections.abc import Sequence

import trio

from borageward.daemon.process import run_process
from borageward.failures import Failure
from borageward.settings import read_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the daemon and exit the interpreter with its exit status."""
    sys.exit(run(arguments))


def run(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon until it stops and return its exit status.

    Returns ``EXIT_INVALID_SETTINGS`` for invalid settings and ``EXIT_FAILED``
    when the TLS files are unusable, or a role cannot start or fails. The
    reason is written to stderr.
    """
    options = _parser().parse_args(arguments)
    settings = read_settings(options.settings)
    if isinstance(settings, Failure):
        sys.stderr.write(f'boragewardd: {settings.detail}\n')
        return EXIT_INVALID_SETTINGS
    if options.check:
        sys.stdout.write(f'{options.settings}: settings are valid\n')
        return EXIT_OK
    failure = trio.run(run_process, settings)
    if failure is None:
        return EXIT_OK
    reason = failure.reason.value
    sys.stderr.write(f'boragewardd: {reason}: {failure.detail}\n')
    return EXIT_FAILED


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='boragewardd',
        description='Run the roles that a settings file names.',
    )
    parser.add_argument(
        'settings', type=pathlib.Path, help='path of the JSON settings file'
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='validate the settings and exit',
    )
    return parser
