"""Output for people beside the report on standard output."""

from __future__ import annotations

import sys


def show_progress(text: str) -> None:
    """Write a line on standard error, away from the report."""
    sys.stderr.write(f'{text}\n')
    sys.stderr.flush()
