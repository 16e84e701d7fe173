"""Announcements of a guard's load to entries."""

from __future__ import annotations

from borageward.policy.announcing import BudgetedAnnouncer
from tests.policy.builders import guard_load


def test_load_is_announced_to_most_outdated_entry_within_budget():
    """Guards against an announcement to every entry at every change.

    Seven starts pay for one announcement, which must go to the entry whose
    last known load differs most from the current one.
    """
    announcer = BudgetedAnnouncer()
    announcer.load_sent('stale', guard_load(free=8))
    announcer.load_sent('fresh', guard_load(free=3))
    assert not announcer.due(guard_load(free=0))
    announcer.started(7)
    assert announcer.due(guard_load(free=0)) == ['stale']
    assert not announcer.due(guard_load(free=0))
