"""Fixtures of all tests."""

from __future__ import annotations

import pytest

from tests.taskorder import seed_task_order

TASK_ORDER_SEED = 1


@pytest.fixture(autouse=True)
def _task_order():
    """Start every test with the same order of ready tasks."""
    seed_task_order(TASK_ORDER_SEED)
