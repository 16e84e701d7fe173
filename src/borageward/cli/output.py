"""Messages to the operator on standard error."""

from __future__ import annotations

import sys


def show_progress(text: str) -> None:
    """Write a line to standard error.

    Standard output is left to the report, which scripts may read.
    """
    sys.stderr.write(f'{text}\n')
    sys.stderr.flush()
