"""The benchmark of claims and the processes that it starts."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest
import trio

from bench import claims

ROOT = pathlib.Path(__file__).parents[2]


def test_no_module_of_a_program_folder_hides_a_standard_module():
    """Guards against a benchmark whose child imports the wrong module.

    A program that is started by its path finds the modules beside it before
    those of the standard library.
    """
    started_by_path = {
        path.stem
        for folder in ('bench', 'scripts')
        for path in (ROOT / folder).glob('*.py')
    }
    assert not started_by_path & sys.stdlib_module_names


def test_control_process_is_importable_as_a_module():
    """Guards against child processes that end at their first import."""
    result = subprocess.run(
        (sys.executable, '-m', claims.CONTROL_MODULE, '/nonexistent'),
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert 'FileNotFoundError' in result.stderr


def test_benchmark_ends_when_a_child_process_ends(monkeypatch):
    """Guards against a benchmark that waits for ever for a dead child."""
    monkeypatch.setattr(claims, 'CONTROL_MODULE', 'bench.no_such_module')

    async def wait_for_ever(group):
        await trio.sleep_forever()

    with pytest.RaisesGroup(claims.ChildEnded):
        trio.run(claims.measure, 1, 60, wait_for_ever)
