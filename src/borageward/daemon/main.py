"""Command line of ``boragewardd``.

argparse reads it, because defopt adds 7.6 MiB to the resident memory of a
guard, whose limit is 32 MB.
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
EXIT_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the daemon and exit with its status."""
    sys.exit(run(arguments))


def run(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit status."""
    options = _parser().parse_args(arguments)
    settings = read_settings(options.settings)
    if isinstance(settings, Failure):
        sys.stderr.write(f'boragewardd: {settings.detail}\n')
        return EXIT_SETTINGS
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
    parser.add_argument('settings', type=pathlib.Path, help='JSON settings')
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit',
    )
    return parser
