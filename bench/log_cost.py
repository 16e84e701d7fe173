"""Time to write one log line to a file.

Run with ``python -m bench.log_cost``. Prints the median over several rounds.
"""

from __future__ import annotations

import pathlib
import statistics
import sys
import tempfile
import time

from borageward.telemetry import EventLog, open_log

_LINES = 20_000
_ROUNDS = 7
_NS_PER_US = 1000


def measure_round(log: EventLog) -> float:
    """Return the mean time per line of one round, in microseconds."""
    started_ns = time.perf_counter_ns()
    for number in range(_LINES):
        log.event(
            'task_start_sent',
            job='0193aaaa-0000-7000-8000-000000000001',
            task=number,
            attempt=1,
            worker='worker-01',
        )
    return (time.perf_counter_ns() - started_ns) / _LINES / _NS_PER_US


def main() -> None:
    """Measure all rounds and print the median."""
    with tempfile.TemporaryDirectory() as folder:
        open_log(str(pathlib.Path(folder) / 'events.log'))
        log = EventLog(process='entry-1', place='nadi-depot')
        rounds = [measure_round(log) for _ in range(_ROUNDS)]
    median = statistics.median(rounds)
    sys.stdout.write(f'{median:.1f} us a line, {_ROUNDS} rounds\n')


if __name__ == '__main__':
    main()
