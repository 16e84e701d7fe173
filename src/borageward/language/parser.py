"""Parser of the query and command language."""

from __future__ import annotations

import functools
import pathlib
from collections.abc import Mapping
from types import MappingProxyType

import lark

from borageward.failures import Failure
from borageward.language.builder import build_sentence, invalid_request
from borageward.language.query import Sentence

MAX_SENTENCE_CHARACTERS = 4096

_GRAMMAR = pathlib.Path(__file__).with_name('grammar.lark')
_END_OF_INPUT = '$END'
_OTHER_SUBJECTS = (
    'workers',
    'members',
    'configuration',
    'services',
    'policies',
    'limits',
)
_TERMINAL_TEXTS: Mapping[str, str] = MappingProxyType(
    {
        _END_OF_INPUT: 'the end of the sentence',
        'NAME': 'a name',
        'NUMBER': 'a number',
        'JOB_ID': 'a job id',
        '_COMMA': '","',
        'STATE': '"waiting", "running" or "refused"',
        'UNIT': '"ms", "s", "min" or "h"',
        'OTHER': ', '.join(f'"{word}"' for word in _OTHER_SUBJECTS),
    }
)


def parse_sentence(text: str) -> Sentence | Failure:
    """Return the typed sentence of a text.

    Returns ``INVALID_REQUEST`` if the text is too long, does not match the
    grammar or contains a value that is not valid. For a syntax error the
    detail gives the column, counted from 1, and what is expected there.
    """
    if len(text) > MAX_SENTENCE_CHARACTERS:
        return invalid_request(
            f'sentence has more characters than {MAX_SENTENCE_CHARACTERS}'
        )
    try:
        tree = _parser().parse(text)
    except lark.exceptions.UnexpectedInput as error:
        return _unexpected_input(text, _error_position(text, error))
    return build_sentence(tree)


@functools.cache
def _parser() -> lark.Lark:
    return lark.Lark(_GRAMMAR.read_text(encoding='utf-8'), parser='lalr')


def _error_position(text: str, error: lark.exceptions.UnexpectedInput) -> int:
    token = getattr(error, 'token', None)
    if token is not None and token.type == _END_OF_INPUT:
        return len(text)
    return error.pos_in_stream or 0


def _unexpected_input(text: str, position: int) -> Failure:
    # The text before the error is parsed again, because only the state of an
    # interactive parser lists exactly the terminals that may follow.
    accepted = _parser().parse_interactive(text[:position])
    accepted.exhaust_lexer()
    expected = sorted(_terminal_text(name) for name in accepted.accepts())
    words = text[position:].split(maxsplit=1)
    found = repr(words[0]) if words else _TERMINAL_TEXTS[_END_OF_INPUT]
    listed = ', '.join(expected)
    column = position + 1
    return invalid_request(f'column {column}: expected {listed}; found {found}')


def _terminal_text(name: str) -> str:
    keyword = name.removeprefix('_').lower()
    return _TERMINAL_TEXTS.get(name, f'"{keyword}"')
