"""Tests of the invariant checks on hand-made journals and answers."""

from __future__ import annotations

import types

import pytest

from standins.invariants import Exchange, find_violations

_BODY = types.MappingProxyType({'id': 'a', 'tasks': ({}, {})})
_COMPLETE = types.MappingProxyType(
    {
        'id': 'a',
        'state': 'complete',
        'results': ({'index': 0}, {'index': 1}),
    }
)
_BOTH = (('a', 0), ('a', 1))


@pytest.mark.parametrize(
    ('journal', 'answer', 'expected'),
    [
        (_BOTH, _COMPLETE, []),
        ([*_BOTH, ('a', 1)], _COMPLETE, ['started more than once']),
        ([('a', 0)], _COMPLETE, ['answered, not started']),
        (
            _BOTH,
            {**_COMPLETE, 'results': [{'index': 0}]},
            ['answer is partial'],
        ),
        (_BOTH, {**_COMPLETE, 'id': 'b'}, ['answer to another request']),
        (
            _BOTH,
            {
                **_COMPLETE,
                'results': [{'index': 0, 'result': 'b/0'}, {'index': 1}],
            },
            ['result of another task'],
        ),
        (
            [('a', 1)],
            {
                'id': 'a',
                'state': 'failed',
                'run_state': 'may_have_run',
                'tasks': [{'index': 1, 'run_state': 'not_run'}],
            },
            ['not_run, but started'],
        ),
        (
            [('a', 0)],
            {'id': 'a', 'state': 'refused', 'run_state': 'not_run'},
            ['not_run, but started'],
        ),
        (
            [],
            {
                'id': 'a',
                'state': 'failed',
                'run_state': 'may_have_run',
                'results': [],
            },
            ['failed answer carries results'],
        ),
    ],
)
def test_checks_report_violations(journal, answer, expected):
    """Guards against checks that miss a violation.

    Each case breaks one invariant, such as a second start of a task or a
    partial answer; tests on real processes would pass although the dispatcher
    broke it.
    """
    found = find_violations(journal, [Exchange(_BODY, answer)])
    assert [violation.invariant for violation in found] == expected
