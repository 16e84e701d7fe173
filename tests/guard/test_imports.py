"""Modules that the guard imports, directly or indirectly."""

from __future__ import annotations

import os
import subprocess
import sys

_PROGRAM = """
import sys
import borageward.guard
import borageward.policy.fifo_scheduler
heavy = {'grpc', 'quart', 'httpx', 'lark', 'hypercorn', 'defopt', 'asyncio'}
print(*sorted(heavy & set(sys.modules)))
"""


def test_guard_imports_no_heavy_library():
    """Guards against an import that raises the memory use of the guard.

    A module imported anywhere below the guard may load a large library that
    only other roles need.
    """
    environment = {**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)}
    finished = subprocess.run(
        [sys.executable, '-c', _PROGRAM],
        capture_output=True,
        check=True,
        env=environment,
        text=True,
    )
    assert not finished.stdout.split()
