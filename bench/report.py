"""Printing of figures as Markdown tables."""

from __future__ import annotations

import statistics
import sys
from collections.abc import Iterable, Sequence

_P99 = 0.99


def median(figures: Sequence[float]) -> float:
    """Return the median."""
    return statistics.median(figures)


def percentile(figures: Sequence[float], share: float = _P99) -> float:
    """Return the smallest figure that a share of all does not exceed."""
    ordered = sorted(figures)
    position = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[position]


def print_table(
    header: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> None:
    """Print a Markdown table."""
    _print_row(header)
    _print_row(['---' for _ in header])
    for row in rows:
        _print_row([_format(cell) for cell in row])


def _format(cell: object) -> str:
    if isinstance(cell, float):
        return format(cell, '.4g')
    return str(cell)


def _print_row(cells: Sequence[str]) -> None:
    line = ' | '.join(cells)
    sys.stdout.write(f'| {line} |\n')
    sys.stdout.flush()
