"""Run times learnt for each service and kind of task.

Declared run times are not used, because they are wrong by a factor of up to
10 in either direction. Times are normalised to a runner of speed 1.
"""

from __future__ import annotations

from typing import Protocol

import attrs
from ddsketch import DDSketch

from borageward.clock import Milliseconds
from borageward.messages.task import RunClass

_RELATIVE_ACCURACY = 0.02
# A sketch is replaced after this many samples, so that estimates follow
# changes of the run time of a kind.
_SAMPLES_PER_SKETCH = 500
# With fewer samples, short and long kinds cannot be distinguished.
_MIN_CLASS_SAMPLES = 3
_CLASS_QUANTILE = 0.9
_DEFAULT_RUN_MS = 500.0
_LONGEST_SHORT_MS = 2000.0
_MEAN_WEIGHT = 0.01


class RunTimeModel(Protocol):
    """Predicts run times on a runner of speed 1."""

    def observe(self, service: str, kind: str, run_ms: Milliseconds) -> None:
        """Record the normalised run time of one task."""

    def mean_ms(self, service: str, kind: str) -> Milliseconds:
        """Return the mean run time of a kind."""

    def short_mean_ms(self) -> Milliseconds:
        """Return the mean run time of short tasks of all kinds."""

    def quantile_ms(
        self,
        service: str,
        kind: str,
        quantile: float,
    ) -> Milliseconds:
        """Return a quantile of the run time of a kind."""

    def run_class(
        self,
        service: str,
        kind: str,
        long_task_ms: Milliseconds,
    ) -> RunClass:
        """Return the class of a kind.

        Kinds that usually run longer than ``long_task_ms`` are long.
        """


@attrs.define(slots=True, eq=False)
class _KindTimes:
    """Run times of one kind in a full sketch and the one being filled.

    Queries use the full sketch, once there is one.
    """

    current: DDSketch = attrs.field(
        factory=lambda: DDSketch(_RELATIVE_ACCURACY)
    )
    previous: DDSketch | None = None

    def observe(self, run_ms: Milliseconds) -> None:
        """Add one run time; a sketch that becomes full is replaced."""
        self.current.add(run_ms)
        if self.current.count >= _SAMPLES_PER_SKETCH:
            self.previous = self.current
            self.current = DDSketch(_RELATIVE_ACCURACY)

    @property
    def query_sketch(self) -> DDSketch:
        """Return the last full sketch, or the current one if none was full."""
        return self.previous or self.current


class LearntRunTimes:
    """Learns run times in quantile sketches for each service and kind."""

    def __init__(self) -> None:
        """Create a model without samples."""
        self._kinds: dict[tuple[str, str], _KindTimes] = {}
        self._all_kinds = _KindTimes()
        self._short_mean_ms = _DEFAULT_RUN_MS

    def observe(self, service: str, kind: str, run_ms: Milliseconds) -> None:
        """Record the normalised run time of one task."""
        times = self._kinds.get((service, kind))
        if times is None:
            times = _KindTimes()
            self._kinds[(service, kind)] = times
        times.observe(run_ms)
        self._all_kinds.observe(run_ms)
        if run_ms < _LONGEST_SHORT_MS:
            self._short_mean_ms += _MEAN_WEIGHT * (run_ms - self._short_mean_ms)

    def short_mean_ms(self) -> Milliseconds:
        """Return the moving average run time of short tasks of all kinds."""
        return self._short_mean_ms

    def mean_ms(self, service: str, kind: str) -> Milliseconds:
        """Return the mean run time of a kind, or of all kinds if unknown."""
        sketch = self._sketch(service, kind)
        if sketch.count:
            return float(sketch.avg)
        return _DEFAULT_RUN_MS

    def quantile_ms(
        self,
        service: str,
        kind: str,
        quantile: float,
    ) -> Milliseconds:
        """Return a quantile of the run time, of all kinds if unknown."""
        found = self._sketch(service, kind).get_quantile_value(quantile)
        return _DEFAULT_RUN_MS if found is None else float(found)

    def run_class(
        self,
        service: str,
        kind: str,
        long_task_ms: Milliseconds,
    ) -> RunClass:
        """Return the class of a kind; without enough samples it is long.

        This keeps an unknown kind off the slots for short tasks until a few
        of its tasks have finished.
        """
        times = self._kinds.get((service, kind))
        if times is None or times.query_sketch.count < _MIN_CLASS_SAMPLES:
            return RunClass.LONG
        if self.quantile_ms(service, kind, _CLASS_QUANTILE) > long_task_ms:
            return RunClass.LONG
        return RunClass.SHORT

    def _sketch(self, service: str, kind: str) -> DDSketch:
        times = self._kinds.get((service, kind))
        if times is None:
            return self._all_kinds.query_sketch
        return times.query_sketch


class SingleClassRunTimes(LearntRunTimes):
    """Baseline that classifies every task as short."""

    def run_class(
        self,
        service: str,
        kind: str,
        long_task_ms: Milliseconds,
    ) -> RunClass:
        """Return the short class for every kind."""
        return RunClass.SHORT
