"""Decision whether a task is the cause of the endpoints that crashed under it.

An endpoint runs many tasks at a time, and a crash ends them all. Most of them
are innocent, so a task is only a suspect after its first crash. Suspects are
placed apart from each other; one that is the only suspect at a second crash
probably caused both.
"""

from __future__ import annotations

from collections.abc import Sequence

from borageward.clock import Milliseconds

# A task is started no more after this many crashes, whatever speaks for it.
_MOST_CRASHES = 3
# A task crashes its endpoint at the same point of its work each time. The times
# from the order to the report of the crash differ by the delay of the report,
# which is the rest of the last lease and therefore varies by 300 ms, and by the
# speed of the endpoint.
_SAME_POINT_MS = 400.0


def is_to_blame(
    ages_ms: Sequence[Milliseconds],
    *,
    other_suspects: bool,
) -> bool:
    """Return whether a task should be given up after its newest crash.

    ``ages_ms`` holds, for each crash, the time from the order of the run to the
    report of the crash. ``other_suspects`` says that another task with an
    earlier crash ran at the endpoint.
    """
    if len(ages_ms) >= _MOST_CRASHES:
        return True
    if len(ages_ms) < 2 or other_suspects:
        return False
    return abs(ages_ms[-1] - ages_ms[-2]) <= _SAME_POINT_MS
