"""Parsing of sentences, and error texts with the column of the error."""

from __future__ import annotations

import pytest
from hypothesis import given, seed, settings, strategies

from borageward.failures import Failure
from borageward.language import parse_sentence, sentence_of
from borageward.messages import configuration as changes

_NAMES = strategies.from_regex('[a-z0-9][a-z0-9-]{0,8}', fullmatch=True)
_NAME_LISTS = strategies.lists(_NAMES, unique=True, max_size=3).map(tuple)
_COUNTS = strategies.integers(0, 100_000)
_CHANGES = strategies.one_of(
    strategies.builds(
        changes.SetService,
        _NAMES,
        _COUNTS,
        _COUNTS.map(float),
        _COUNTS,
    ),
    strategies.builds(changes.SetQuota, _NAMES, _COUNTS),
    strategies.builds(
        changes.SetPolicy, _NAMES, _NAMES, _NAME_LISTS, _NAME_LISTS
    ),
    strategies.builds(changes.RemovePolicy, _NAMES, _NAMES),
    strategies.builds(changes.SetDrained, _NAMES, strategies.booleans()),
    strategies.builds(changes.SetApproval, strategies.booleans()),
    strategies.builds(changes.SetLimit, _NAMES, _COUNTS.map(float)),
)


@pytest.mark.parametrize(
    'sentence',
    [
        'show waiting jobs of dispatch older than 2 s',
        'show refused jobs kind reorder because overloaded, leaving',
        'show workers in nadi-depot',
        'set quota of dispatch to 40 slots',
        'set deadline of dispatch to 1.5 s and drain worker worker-01',
        'allow reorder of dispatch in nadi-depot, lautoka-yard',
        'allow * of dispatch anywhere',
        'cancel job 0190AAAA-0000-7000-8000-000000000001',
    ],
)
def test_sentence_has_typed_value(sentence, snapshot):
    """Guards against a sentence that is parsed into a different meaning.

    A change of the grammar or of the conversion of units can cause this.
    """
    assert repr(parse_sentence(sentence)) == snapshot


@pytest.mark.parametrize(
    'sentence',
    [
        '',
        'show job',
        'show jobs inland',
        'show jobs of dispatch;',
        'show jobs of dispatch, dispatch',
        'show jobs of dispatch of forecast',
        'show limits older than 2 s',
        'show jobs because overload',
        'show jobs older than 2',
        'set quota of dispatch to 40',
        'set quota of dispatch to 1.5 slots',
        'set quota of dispatch to -4 slots',
        'cancel job 17',
        'show jobs\nset quota of dispatch to 40 slots',
        'x' * 5000,
    ],
)
def test_wrong_sentence_names_position(sentence, snapshot):
    """Guards against accepted invalid sentences and unhelpful error texts.

    An error text has to name the column and what is expected there, or the
    value that is not valid, on a single line.
    """
    outcome = parse_sentence(sentence)
    assert isinstance(outcome, Failure)
    assert '\n' not in outcome.detail
    assert outcome.detail == snapshot


# A plan shows its change as a sentence, and a plan file is read by parsing that
# sentence. The two conversions therefore have to be the inverse of each other.
@seed(20261204)
@settings(max_examples=300, database=None)
@given(strategies.lists(_CHANGES, min_size=1, max_size=3))
def test_sentence_of_change_parses_to_it(parts):
    """Guards against a plan that states another change than it applies."""
    change = parts[0] if len(parts) == 1 else changes.Batch(tuple(parts))
    assert parse_sentence(sentence_of(change)) == change


# Error texts quote the input of the operator, which may hold any character,
# and are printed on a terminal.
@seed(20261204)
@settings(max_examples=300, database=None)
@given(strategies.text())
def test_any_text_gives_value_or_one_line(text):
    """Guards against a parser that raises or prints several lines."""
    outcome = parse_sentence(text)
    if isinstance(outcome, Failure):
        assert outcome.detail.isprintable()
