"""Timelines as a picture; matplotlib is loaded here only."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence

from borageward.failures import Failure, FailureReason
from borageward.timeline.event import Event

_FORMATS = frozenset(('.svg', '.png'))
_WIDTH_INCHES = 10
_ROW_INCHES = 0.5
_ROTATION = 30
# Room for the rotated names of the last and the topmost events.
_MARGIN = 0.2
_MS_PER_SECOND = 1000


def draw_timeline(
    events: Sequence[Event],
    path: pathlib.Path,
) -> Failure | None:
    """Draw a row for each process into an SVG or PNG file."""
    if path.suffix not in _FORMATS:
        return _invalid(f'{path}: expected a name in .svg or .png')
    if not events:
        return _invalid('no events to draw')
    try:
        from matplotlib.figure import Figure  # noqa: WPS433
    except ImportError:
        return _invalid('pictures need the package matplotlib')
    processes = sorted({event.process for event in events})
    rows = len(processes) + 2
    figure = Figure((_WIDTH_INCHES, _ROW_INCHES * rows), layout='constrained')
    axes = figure.add_subplot()
    start_s = min(event.stamp_s for event in events)
    times = [(event.stamp_s - start_s) * _MS_PER_SECOND for event in events]
    levels = [processes.index(event.process) for event in events]
    axes.plot(times, levels, color='lightgrey', zorder=1)
    axes.scatter(times, levels, zorder=2)
    for time_ms, level, event in zip(times, levels, events, strict=True):
        axes.annotate(
            event.name,
            (time_ms, level),
            rotation=_ROTATION,
            fontsize=6,
            parse_math=False,
        )
    axes.margins(_MARGIN)
    axes.set_yticks(range(len(processes)), processes, parse_math=False)
    axes.set_xlabel('ms since the first event')
    try:
        figure.savefig(path)
    except OSError as error:
        return _invalid(f'{path}: {error.strerror}')
    return None


def _invalid(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_REQUEST, detail)
