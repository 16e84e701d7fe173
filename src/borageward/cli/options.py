"""Check of option names; argparse would accept abbreviations."""

from __future__ import annotations

import inspect
from collections.abc import Callable, Iterable, Sequence
from typing import Any

_HELP = 'help'


def unknown_option(
    argv: Sequence[str],
    functions: Iterable[Callable[..., Any]],
) -> str | None:
    """Return the first long option that no command has, or nothing."""
    known = {f'--{_HELP}'}
    for function in functions:
        known.update(_options(function))
    for word in argv:
        if word == '--':
            return None
        name = word.partition('=')[0]
        if name.startswith('--') and name not in known:
            return name
    return None


def _options(function: Callable[..., Any]) -> Iterable[str]:
    signature = inspect.signature(function)
    for parameter in signature.parameters.values():
        if parameter.kind is inspect.Parameter.KEYWORD_ONLY:
            name = parameter.name.replace('_', '-')
            yield f'--{name}'
            yield f'--no-{name}'
