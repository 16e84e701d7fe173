"""Tests of the reading and validation of settings."""

from __future__ import annotations

import copy
import json
import pathlib
import re

import jsonschema
import pytest
from hypothesis import given, seed, settings, strategies

from borageward.cli.reference import reference_files
from borageward.settings import (
    InvalidSettings,
    Settings,
    parse_settings,
    read_settings,
)
from borageward.settings.schema import settings_schema

_DOCS = pathlib.Path(__file__).parents[2] / 'docs'
_EXAMPLES = sorted(_DOCS.glob('examples/*/*.json'))
_CONTROL = json.loads((_DOCS / 'examples/viti-west/control-1.json').read_text())
_GUARD = json.loads((_DOCS / 'examples/jm-east/guard-01.json').read_text())


def _problems(document):
    outcome = parse_settings(json.dumps(document), 'test.json')
    assert isinstance(outcome, InvalidSettings)
    return {problem.path: problem.detail for problem in outcome.problems}


def _changed(document, **members):
    changed = copy.deepcopy(document)
    for path, member in members.items():
        section, _, key = path.partition('__')
        changed[section][key] = member
    return changed


def test_generated_files_are_current():
    """Guards against generated reference files that differ from the code.

    They go out of date when a setting or an event is changed without running
    ``scripts/reference``.
    """
    for name, text in reference_files().items():
        assert (_DOCS / name).read_text() == text, f'{name}: scripts/reference'


@pytest.mark.parametrize('path', _EXAMPLES, ids=lambda path: path.name)
def test_examples_are_valid(path):
    """Guards against an example file that the daemon or the schema rejects.

    An example goes out of date when a setting is renamed or its range is
    changed.
    """
    assert isinstance(read_settings(path), Settings)
    jsonschema.validate(json.loads(path.read_text()), settings_schema())


def test_examples_share_no_port():
    """Guards against example processes that cannot run on the same host.

    Two processes that listen on the same address and port cannot both start.
    """
    taken = []
    for path in _EXAMPLES:
        document = json.loads(path.read_text())
        for role in ('control', 'entry', 'guard'):
            section = document.get(role, {})
            taken.extend(
                section[key]
                for key in section
                if key in {'address', 'member_address', 'runner_address'}
                or key in {'http_address', 'link_address'}
            )
    assert len(taken) == len(set(taken)) == 2 * (6 + 4 + 20)


def test_all_problems_are_reported_at_once():
    """Guards against a reader that stops at the first problem.

    An operator would then have to start the daemon once for each mistake in
    the file.
    """
    document = _changed(
        _CONTROL,
        control__election_timeout_s=1,
        control__append_interval_ms='100ms',
        control__snapshot_entries=1,
        log__level='loud',
        tls__mod='off',
    )
    document['control']['voters'][1]['voter_id'] = 7
    document.pop('region')
    assert set(_problems(document)) == {
        '$.region',
        '$.tls.mod',
        '$.log.level',
        '$.control.election_timeout_s',
        '$.control.append_interval_ms',
        '$.control.snapshot_entries',
        '$.control.voters[1].voter_id',
    }


@pytest.mark.parametrize(
    ('document', 'path', 'words'),
    [
        (_changed(_GUARD, guard__slots=True), '$.guard.slots', 'integer'),
        (_changed(_GUARD, guard__slot=8), '$.guard.slot', "mean 'slots'"),
        (
            _changed(_GUARD, guard__heartbeat_interval_s=1),
            '$.guard.heartbeat_interval_s',
            "'heartbeat_interval_ms'",
        ),
        (
            _changed(_GUARD, guard__runner_address='runner:80'),
            '$.guard.runner_address',
            "'runner' is not an IP address",
        ),
        (
            _changed(_GUARD, guard__link_address='0.0.0.0:7000'),
            '$.guard.link_address',
            'cannot be dialled',
        ),
        (
            _changed(_GUARD, guard__link_address='127.0.0.1:70000'),
            '$.guard.link_address',
            'is not an IP address and a port',
        ),
        (
            _changed(_CONTROL, control__member_address='0.0.0.0:7101'),
            '$.control.member_address',
            'taken by $.control.address',
        ),
        (
            _changed(_CONTROL, control__voter_id='control-9'),
            '$.control.voters',
            'missing',
        ),
        (
            _changed(_CONTROL, control__claim_retention_ms=20_000),
            '$.control.claim_retention_ms',
            'clock_skew_ms',
        ),
        (
            _changed(_CONTROL, tls__mode='mutual'),
            '$.tls.private_key',
            'required',
        ),
        (_changed(_CONTROL, tls__authority='ca.pem'), '$.tls.authority', 'off'),
    ],
)
def test_problem_names_path_and_reason(document, path, words):
    """Guards against an invalid value that is accepted or reported elsewhere.

    Each case breaks one value of a valid document; its own path must be
    reported, with the reason.
    """
    assert words in _problems(document)[path]


def test_two_voters_are_refused():
    """Guards against a voter set that the loss of one voter stops.

    Two voters have no majority without each other, so an even count is
    refused.
    """
    document = copy.deepcopy(_CONTROL)
    document['control']['voters'].pop()
    assert '2 voters' in _problems(document)['$.control.voters']


def test_file_without_role_is_refused():
    """Guards against a daemon that starts without a role and does nothing.

    Each role is optional, so a file without any of them fits the schema.
    """
    document = copy.deepcopy(_CONTROL)
    document.pop('control')
    assert 'no role' in _problems(document)['$']


def test_repeated_key_is_refused():
    """Guards against a repeated key whose first value is silently dropped.

    The JSON parser by itself keeps the last value of a repeated key.
    """
    text = json.dumps(_GUARD).replace('"slots": 8', '"slots": 8, "slots": 9')
    outcome = parse_settings(text, 'test.json')
    assert '$.guard.slots: key is given twice' in outcome.detail


def test_syntax_error_has_line_and_column(tmp_path):
    """Guards against an error that does not locate the mistake.

    Text that is not JSON has no JSON path, so its line and column are
    reported. A file that is missing is reported as such.
    """
    path = tmp_path / 'broken.json'
    path.write_text('{\n "region": }')
    outcome = read_settings(path)
    assert isinstance(outcome, InvalidSettings)
    assert 'line 2 column 12' in outcome.detail
    missing = read_settings(tmp_path / 'missing.json')
    assert 'No such file' in missing.detail


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(('control', 'tls', 'mode', 'region')),
            inner,
        )
    ),
)


@seed(20261204)
@settings(max_examples=200, database=None)
@given(_JSON)
def test_any_json_gives_value_or_problems(document):
    """Guards against a check that raises on an unexpected shape."""
    outcome = parse_settings(json.dumps(document), 'test.json')
    assert isinstance(outcome, InvalidSettings)
    assert outcome.problems
    assert all(re.match(r'\$', found.path) for found in outcome.problems)
