"""Timelines drawn as pictures.

matplotlib is optional and is imported only when a picture is drawn.
"""

from __future__ import annotations

import pathlib
from collections.abc import Sequence

from borageward.failures import Failure, FailureReason
from borageward.timeline.event import Event

_FORMATS = frozenset(('.svg', '.png'))
_WIDTH_INCHES = 10
_ROW_INCHES = 0.5
_LABEL_ROTATION_DEGREES = 30
# Leaves room for the rotated labels of the last and the topmost events.
_MARGIN_SHARE = 0.2
_MS_PER_SECOND = 1000


def draw_timeline(
    events: Sequence[Event],
    path: pathlib.Path,
) -> Failure | None:
    """Draw the events into an SVG or PNG file, with a row for each process.

    Returns ``INVALID_REQUEST`` if the file has another suffix or cannot be
    written, if there are no events, or if matplotlib is not installed.
    """
    if path.suffix not in _FORMATS:
        return _invalid(f'{path}: expected a file name ending in .svg or .png')
    if not events:
        return _invalid('no events to draw')
    try:
        from matplotlib.figure import Figure  # noqa: WPS433
    except ImportError:
        return _invalid('drawing a picture requires the package matplotlib')
    processes = sorted({event.process for event in events})
    row_count = len(processes) + 2
    figure = Figure(
        (_WIDTH_INCHES, _ROW_INCHES * row_count), layout='constrained'
    )
    axes = figure.add_subplot()
    start_s = min(event.timestamp_s for event in events)
    times_ms = [
        (event.timestamp_s - start_s) * _MS_PER_SECOND for event in events
    ]
    event_rows = [processes.index(event.process) for event in events]
    axes.plot(times_ms, event_rows, color='lightgrey', zorder=1)
    axes.scatter(times_ms, event_rows, zorder=2)
    for time_ms, row, event in zip(times_ms, event_rows, events, strict=True):
        axes.annotate(
            event.name,
            (time_ms, row),
            rotation=_LABEL_ROTATION_DEGREES,
            fontsize=6,
            parse_math=False,
        )
    axes.margins(_MARGIN_SHARE)
    axes.set_yticks(range(len(processes)), processes, parse_math=False)
    axes.set_xlabel('ms since the first event')
    try:
        figure.savefig(path)
    except OSError as error:
        return _invalid(f'{path}: {error.strerror}')
    return None


def _invalid(detail: str) -> Failure:
    return Failure(FailureReason.INVALID_REQUEST, detail)
