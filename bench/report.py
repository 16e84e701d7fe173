"""Statistics of benchmark figures and their output as Markdown tables."""

from __future__ import annotations

import statistics
import sys
from collections.abc import Iterable, Sequence

_P99 = 0.99


def median(figures: Sequence[float]) -> float:
    """Return the median; raise ``StatisticsError`` without any figure."""
    return statistics.median(figures)


def percentile(figures: Sequence[float], share: float = _P99) -> float:
    """Return the figure below which ``share`` of the figures lie.

    ``share`` is between 0 and 1. At least one figure is required, otherwise
    ``IndexError`` is raised.
    """
    ordered = sorted(figures)
    position = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[position]


def print_table(
    header: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> None:
    """Write a Markdown table to standard output; floats get four digits."""
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
