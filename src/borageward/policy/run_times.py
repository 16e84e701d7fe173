"""Run times learnt for each service and kind of task.

Declared run times are wrong by a factor of 10 in either direction, so they
are not used. Times are normalised to a runner of speed 1.
"""

from __future__ import annotations

from typing import Protocol

import attrs
from ddsketch import DDSketch

from borageward.clock import Milliseconds
from borageward.messages.task import RunClass

_ACCURACY = 0.02
# A sketch is replaced after this many samples, so that an estimate follows a
# kind whose run time changes.
_SAMPLES_PER_SKETCH = 500
# Fewer samples do not tell short from long kinds.
_COLD_SAMPLES = 3
_CLASS_QUANTILE = 0.9
_DEFAULT_MS = 500.0
_LONGEST_SHORT_MS = 2000.0
_MEAN_WEIGHT = 0.01


class RunTimeModel(Protocol):
    """Predicts run times on a runner of speed 1."""

    def observe(self, service: str, kind: str, run_ms: Milliseconds) -> None:
        """Learn from one normalised run time."""

    def mean_ms(self, service: str, kind: str) -> Milliseconds:
        """Return the expected run time of a kind."""

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
        """Return the class of a kind for a limit between short and long."""


@attrs.define(slots=True, eq=False)
class _KindTimes:
    """Samples of one kind; the older sketch counts until it is replaced."""

    current: DDSketch = attrs.field(factory=lambda: DDSketch(_ACCURACY))
    previous: DDSketch | None = None

    def observe(self, run_ms: Milliseconds) -> None:
        """Add one sample."""
        self.current.add(run_ms)
        if self.current.count >= _SAMPLES_PER_SKETCH:
            self.previous = self.current
            self.current = DDSketch(_ACCURACY)

    @property
    def settled(self) -> DDSketch:
        """Return the sketch that answers queries."""
        return self.previous or self.current


class LearntRunTimes:
    """Run times from quantile sketches, one for each service and kind."""

    def __init__(self) -> None:
        """Start without any sample."""
        self._kinds: dict[tuple[str, str], _KindTimes] = {}
        self._all = _KindTimes()
        self._short_ms = _DEFAULT_MS

    def observe(self, service: str, kind: str, run_ms: Milliseconds) -> None:
        """Learn from one normalised run time."""
        times = self._kinds.get((service, kind))
        if times is None:
            times = _KindTimes()
            self._kinds[(service, kind)] = times
        times.observe(run_ms)
        self._all.observe(run_ms)
        if run_ms < _LONGEST_SHORT_MS:
            self._short_ms += _MEAN_WEIGHT * (run_ms - self._short_ms)

    def short_mean_ms(self) -> Milliseconds:
        """Return the mean run time of short tasks of all kinds."""
        return self._short_ms

    def mean_ms(self, service: str, kind: str) -> Milliseconds:
        """Return the expected run time; of all kinds for an unknown kind."""
        sketch = self._sketch(service, kind)
        if sketch.count:
            return float(sketch.avg)
        return _DEFAULT_MS

    def quantile_ms(
        self,
        service: str,
        kind: str,
        quantile: float,
    ) -> Milliseconds:
        """Return a quantile; of all kinds for an unknown kind."""
        found = self._sketch(service, kind).get_quantile_value(quantile)
        return _DEFAULT_MS if found is None else float(found)

    def run_class(
        self,
        service: str,
        kind: str,
        long_task_ms: Milliseconds,
    ) -> RunClass:
        """Return the class; a kind without enough samples counts as long.

        Counting an unknown kind as long keeps it off the slots for short work
        until a few of its tasks have finished.
        """
        times = self._kinds.get((service, kind))
        if times is None or times.settled.count < _COLD_SAMPLES:
            return RunClass.LONG
        if self.quantile_ms(service, kind, _CLASS_QUANTILE) > long_task_ms:
            return RunClass.LONG
        return RunClass.SHORT

    def _sketch(self, service: str, kind: str) -> DDSketch:
        times = self._kinds.get((service, kind))
        if times is None:
            return self._all.settled
        return times.settled


class SingleClassRunTimes(LearntRunTimes):
    """Baseline that takes all work as short."""

    def run_class(
        self,
        service: str,
        kind: str,
        long_task_ms: Milliseconds,
    ) -> RunClass:
        """Return the short class."""
        return RunClass.SHORT
