"""The catalogue of events against the calls that write them."""

from __future__ import annotations

import ast
import collections
import pathlib
import types

import pytest

from borageward.telemetry import events

ROOT = pathlib.Path(__file__).parents[2]
SOURCES = ('src', 'platform')
LEVELS = types.MappingProxyType(
    {
        'debug': 'debug',
        'event': 'info',
        'warning': 'warning',
        'error': 'error',
    }
)


class LoggedCall:
    """One call that writes an event."""

    def __init__(self, call, path):
        self.method = call.func.attr
        self.name = event_name(call.args[0]) if call.args else None
        self.fields = {item.arg for item in call.keywords if item.arg}
        self.open_ended = any(item.arg is None for item in call.keywords)
        self.place = f'{path.relative_to(ROOT)}:{call.lineno}'


def event_name(node):
    """Return the name that an argument names, or None if it is computed."""
    if isinstance(node, ast.Constant):
        return node.value
    if isinstance(node, ast.Name):
        return getattr(events, node.id, None)
    if isinstance(node, ast.Attribute):
        return getattr(events, node.attr, None)
    return None


def is_log_call(node):
    """Return whether a node writes an event."""
    if not isinstance(node, ast.Call):
        return False
    if not isinstance(node.func, ast.Attribute):
        return False
    target = ast.unparse(node.func.value)
    is_log = target == 'log' or target.endswith('_log') or '.log' in target
    return is_log and node.func.attr in LEVELS


def logged_calls():
    """Return the calls of all sources whose event has a constant name."""
    calls = []
    for folder in SOURCES:
        for path in sorted((ROOT / folder).rglob('*.py')):
            tree = ast.parse(path.read_text())
            calls.extend(
                LoggedCall(node, path)
                for node in ast.walk(tree)
                if is_log_call(node)
            )
    return [call for call in calls if call.name is not None]


def fields_of(name):
    """Return the fields that the catalogue lists for an event."""
    text = events.EVENTS[name].fields
    return {field.strip() for field in text.split(',') if field.strip()}


@pytest.fixture(scope='module')
def calls():
    """Return the calls of the sources."""
    return logged_calls()


def test_calls_are_found(calls):
    """Guards against a check that looks at nothing.

    Most events of the catalogue are written by a call with a constant name.
    """
    found = {call.name for call in calls}
    assert len(found & set(events.EVENTS)) > len(events.EVENTS) / 2


def test_written_events_are_listed(calls):
    """Guards against lines that the page does not explain."""
    wrong = [
        f'{call.place} {call.name}'
        for call in calls
        if call.name not in events.EVENTS
    ]
    assert not wrong


def test_levels_are_those_of_the_calls(calls):
    """Guards against a page that calls a warning an error."""
    wrong = [
        f'{call.place} {call.name}'
        for call in calls
        if LEVELS[call.method] != events.EVENTS[call.name].level
    ]
    assert not wrong


def test_written_fields_are_listed(calls):
    """Guards against lines with fields that the page does not explain."""
    wrong = {
        call.place: sorted(call.fields - fields_of(call.name))
        for call in calls
        if call.fields - fields_of(call.name)
    }
    assert not wrong


def test_listed_fields_are_written(calls):
    """Guards against a page that promises fields that no line has."""
    written = collections.defaultdict(set)
    for call in calls:
        written[call.name] |= call.fields
    open_ended = {call.name for call in calls if call.open_ended}
    wrong = {
        name: sorted(fields_of(name) - fields)
        for name, fields in written.items()
        if name not in open_ended and fields_of(name) - fields
    }
    assert not wrong
