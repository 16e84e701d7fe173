"""Reproducible order of trio tasks.

trio runs the tasks that become ready together in a random order, drawn from a
source of its own. With the source unseeded, a scenario in virtual time could
pass in one run and fail in the next.
"""

from __future__ import annotations

from trio._core import _run


def seed_task_order(seed):
    """Let trio draw the order of ready tasks from a seeded source.

    trio offers no public function for this; its Hypothesis plugin sets the
    same two variables.
    """
    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed)
