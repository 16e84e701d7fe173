"""Plot of the smallest margins of several plays."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence

from matplotlib import use as use_backend

from bench.second_runs.summary import Summary

_ROW_INCHES = 0.3


def plot_margins(summaries: Sequence[Summary], path: pathlib.Path) -> None:
    """Write a PNG with the smallest margins of each play by reason.

    The plays are ordered by the smallest margin without a report of the guard.
    The rule of one run at a time is broken left of zero.
    """
    use_backend('Agg')
    from matplotlib import pyplot  # noqa: WPS433

    rows = sorted(summaries, key=_smallest, reverse=True)
    figure, axes = pyplot.subplots(
        figsize=(12, 3 + _ROW_INCHES * len(rows)), layout='constrained'
    )
    for group in sorted({name for row in rows for name in row.smallest_ms}):
        points = [
            (row.smallest_ms[group], place)
            for place, row in enumerate(rows)
            if group in row.smallest_ms
        ]
        margins, places = zip(*points, strict=True)
        axes.scatter(margins, places, label=group, s=18)
    axes.axvline(0, color='black')
    axes.set_xscale('symlog', linthresh=10)
    axes.set_yticks(range(len(rows)), [row.log for row in rows], fontsize=7)
    axes.set_xlabel('smallest margin between two runs of a task, ms')
    axes.legend(fontsize=7, loc='upper left', bbox_to_anchor=(1, 1))
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def _smallest(summary: Summary) -> float:
    margin_ms = summary.smallest_unreported_ms
    return float('inf') if margin_ms is None else margin_ms
