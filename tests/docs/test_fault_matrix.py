"""Checks of the fault matrix in docs/faults.md.

Rows are steps of a job, columns are faults, and each cell holds keys. Below
the table, each key is defined with the tests that prove it.
"""

from __future__ import annotations

import pathlib
import re

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_PAGE = _ROOT / 'docs' / 'faults.md'
_KEY_LINE = re.compile(r'^- ([A-Z]+\d*): (.*)$')
_TEST_REFERENCE = re.compile(r'`(tests/\S+?\.py)::(\w+)')
_STEPS = 17
_FAULTS = 11


def _rows():
    lines = _PAGE.read_text('utf-8').splitlines()
    table = [line for line in lines if line.startswith('| ')]
    cells = [
        [cell.strip() for cell in line.strip('|').split('|')] for line in table
    ]
    return [row for row in cells if not row[0].startswith('---')]


def _keys():
    definitions = {}
    for line in _PAGE.read_text('utf-8').splitlines():
        match = _KEY_LINE.match(line)
        if match:
            definitions[match.group(1)] = match.group(2)
    return definitions


def test_matrix_is_whole():
    """Guards against a step or fault that is missing or has an empty cell."""
    rows = _rows()
    header = rows[0]
    steps = rows[1 : _STEPS + 1]
    assert len(header) == _FAULTS + 1
    assert len(steps) == _STEPS
    for row in steps:
        assert len(row) == _FAULTS + 1, row[0]
        assert all(row), row[0]


def test_cells_use_defined_keys():
    """Guards against a cell with a key that the page does not define."""
    keys = _keys()
    for row in _rows()[1 : _STEPS + 1]:
        for cell in row[1:]:
            for key in cell.split():
                assert key in keys, (row[0], key)


def test_named_tests_exist():
    """Guards against a reference to a test that was renamed or removed."""
    page = _PAGE.read_text('utf-8')
    named = _TEST_REFERENCE.findall(page)
    assert named
    for path, name in named:
        source = (_ROOT / path).read_text('utf-8')
        assert f'def {name}(' in source, (path, name)
