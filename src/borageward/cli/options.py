"""Check of option names.

argparse accepts abbreviated options, whose meaning could change when another
option is added; the command line refuses them.
"""

from __future__ import annotations

import inspect
from collections.abc import Callable, Iterable, Sequence
from typing import Any

_HELP = 'help'


def unknown_option(
    argv: Sequence[str],
    functions: Iterable[Callable[..., Any]],
) -> str | None:
    """Return the first long option in ``argv`` that no command has.

    Returns ``None`` if there is none. Arguments after ``--`` are not checked.
    """
    known_options = {f'--{_HELP}'}
    for function in functions:
        known_options.update(_option_names(function))
    for argument in argv:
        if argument == '--':
            return None
        name = argument.partition('=')[0]
        if name.startswith('--') and name not in known_options:
            return name
    return None


def _option_names(function: Callable[..., Any]) -> Iterable[str]:
    signature = inspect.signature(function)
    for parameter in signature.parameters.values():
        if parameter.kind is inspect.Parameter.KEYWORD_ONLY:
            name = parameter.name.replace('_', '-')
            yield f'--{name}'
            yield f'--no-{name}'
