"""Jobs whose callers may have left while an entry was cut off."""

from __future__ import annotations

import pytest

from borageward.clock import SystemClock
from borageward.dispatch.contact import CallerContact
from borageward.telemetry import EventLog


class SetClock(SystemClock):
    """Clock that the test sets."""

    def __init__(self):
        self.at_ms = 5000.0

    def now_ms(self):
        """Return the time that was set."""
        return self.at_ms


class RecordingLog(EventLog):
    """Event log that keeps the warnings."""

    def __init__(self):
        super().__init__()
        self.warnings = []

    def warning(self, name, **fields):
        """Keep a warning."""
        self.warnings.append((name, fields))


class Entry:
    """Contact of an entry, with the time and the guards of the test."""

    def __init__(self):
        self.clock = SetClock()
        self.log = RecordingLog()
        self.contact = CallerContact(self.clock, self.log)

    def hear_until(self, end_ms):
        """Hear a guard every 100 ms until a time."""
        while self.clock.at_ms < end_ms:
            self.clock.at_ms += 100
            self.contact.record(self.clock.at_ms)

    def stay_silent_until(self, end_ms):
        """Check every 100 ms, and hear no guard until a time."""
        heard_ms = self.clock.at_ms
        while self.clock.at_ms < end_ms:
            self.clock.at_ms += 100
            self.contact.record(heard_ms)


@pytest.fixture
def entry():
    """Return an entry that has heard a guard at 5,000 ms."""
    entry = Entry()
    entry.contact.record(5000)
    return entry


def test_old_job_waits_longer_than_the_silence_lasted(entry):
    """Guards against runs that are ordered for a caller that has left.

    The end of its connection, which a cut has held back, arrives within the
    duration of the cut and the first pause of TCP after it.
    """
    entry.stay_silent_until(7000)
    entry.hear_until(7100)
    assert not entry.contact.may_order(4900)
    entry.hear_until(9400)
    assert not entry.contact.may_order(4900)
    entry.hear_until(9500)
    assert entry.contact.may_order(4900)


def test_job_is_in_doubt_during_the_silence(entry):
    """Guards against orders before the first message after a silence.

    An entry that stood still may place tasks before it has read a message.
    """
    entry.clock.at_ms = 7000
    entry.contact.record(5000)
    assert not entry.contact.may_order(4900)


def test_job_that_arrives_in_the_silence_may_be_ordered(entry):
    """Guards against new jobs that wait although their callers are there."""
    entry.stay_silent_until(7000)
    assert entry.contact.may_order(6900)
    entry.hear_until(7100)
    assert entry.contact.may_order(6900)


def test_job_that_arrives_early_in_the_silence_is_in_doubt(entry):
    """Guards against a job that arrived between a message and the cut."""
    entry.stay_silent_until(7000)
    entry.hear_until(7100)
    assert not entry.contact.may_order(5300)


@pytest.mark.parametrize('pause_ms', [100, 300, 600])
def test_usual_pause_is_no_silence(entry, pause_ms):
    """Guards against jobs that wait without a cause.

    Guards send states to an idle entry every 460 ms.
    """
    entry.clock.at_ms += pause_ms
    assert entry.contact.may_order(4900)
    entry.contact.record(entry.clock.at_ms)
    assert entry.contact.may_order(4900)
    assert not entry.log.warnings


def test_second_silence_lengthens_the_doubt(entry):
    """Guards against a doubt that ends although contact was short.

    News that the first cut held back may have been lost again in the second.
    """
    entry.stay_silent_until(7000)
    entry.hear_until(7200)
    entry.stay_silent_until(8000)
    entry.hear_until(11_400)
    assert not entry.contact.may_order(4900)
    entry.hear_until(11_500)
    assert entry.contact.may_order(4900)


def test_entry_that_has_heard_no_guard_yet_may_order():
    """Guards against jobs that wait after the start of their entry."""
    entry = Entry()
    entry.clock.at_ms += 3000
    assert entry.contact.may_order(5000)
    entry.contact.record(entry.clock.at_ms)
    assert entry.contact.may_order(5000)


def test_silence_is_logged_once(entry):
    """Guards against a decision that shows in no log."""
    entry.stay_silent_until(7000)
    entry.hear_until(9000)
    assert entry.log.warnings == [('callers_in_doubt', {'silent_ms': 2100})]


def test_end_of_a_silence_is_told(entry):
    """Guards against runs that go on for callers that have left in a cut."""
    entry.stay_silent_until(5800)
    entry.clock.at_ms += 50
    assert entry.contact.record(entry.clock.at_ms)
    assert not entry.contact.record(entry.clock.at_ms)


def test_end_of_a_standstill_is_not_told(entry):
    """Guards against runs that are stopped because the entry was frozen.

    Its host has received the ends of connections meanwhile.
    """
    entry.clock.at_ms = 5800
    assert not entry.contact.record(5000)
    entry.clock.at_ms = 5801
    assert not entry.contact.record(5801)
