"""Parser of the query and command language."""

from __future__ import annotations

import functools
import pathlib
from collections.abc import Mapping
from types import MappingProxyType

import lark

from borageward.failures import Failure
from borageward.language.builder import build_sentence, invalid
from borageward.language.query import Sentence

MAX_SENTENCE_LENGTH = 4096

_GRAMMAR = pathlib.Path(__file__).with_name('grammar.lark')
_END = '$END'
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
        _END: 'the end of the sentence',
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
    """Return the typed sentence, or ``INVALID_REQUEST`` with the position."""
    if len(text) > MAX_SENTENCE_LENGTH:
        return invalid(f'sentence longer than {MAX_SENTENCE_LENGTH}')
    try:
        tree = _parser().parse(text)
    except lark.exceptions.UnexpectedInput as error:
        return _unexpected(text, _position(text, error))
    return build_sentence(tree)


@functools.cache
def _parser() -> lark.Lark:
    return lark.Lark(_GRAMMAR.read_text(encoding='utf-8'), parser='lalr')


def _position(text: str, error: lark.exceptions.UnexpectedInput) -> int:
    token = getattr(error, 'token', None)
    if token is not None and token.type == _END:
        return len(text)
    return error.pos_in_stream or 0


def _unexpected(text: str, position: int) -> Failure:
    # The accepted part is parsed again to learn exactly what may follow it.
    accepted = _parser().parse_interactive(text[:position])
    accepted.exhaust_lexer()
    expected = sorted(_terminal_text(name) for name in accepted.accepts())
    words = text[position:].split(maxsplit=1)
    found = repr(words[0]) if words else _TERMINAL_TEXTS[_END]
    listed = ', '.join(expected)
    column = position + 1
    return invalid(f'column {column}: expected {listed}; found {found}')


def _terminal_text(name: str) -> str:
    keyword = name.removeprefix('_').lower()
    return _TERMINAL_TEXTS.get(name, f'"{keyword}"')
