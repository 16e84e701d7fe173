"""Reading and validation of the settings document."""

from __future__ import annotations

import json
import pathlib

import msgspec

from borageward.settings.document import Settings
from borageward.settings.problem import InvalidSettings, SettingsProblem
from borageward.settings.rules import check_rules
from borageward.settings.shape import check_shape
from borageward.settings.syntax import JsonObject


def read_settings(path: pathlib.Path) -> Settings | InvalidSettings:
    """Return the settings in a file, or all problems found in it.

    A file that cannot be read is returned as a problem as well.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        return _unreadable(path, error.strerror or 'cannot be read')
    except UnicodeDecodeError:
        return _unreadable(path, 'not UTF-8')
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str) -> Settings | InvalidSettings:
    """Return the settings in a JSON text, or all problems found in it.

    ``source`` names the text in the failure. Rules between values are checked
    only once each value is valid by itself.
    """
    try:
        document = json.loads(text, object_pairs_hook=JsonObject)
    except json.JSONDecodeError as error:
        detail = f'line {error.lineno} column {error.colno}: {error.msg}'
        return InvalidSettings.of(source, (SettingsProblem('$', detail),))
    except RecursionError:
        problem = SettingsProblem('$', 'nested too deeply')
        return InvalidSettings.of(source, (problem,))
    problems = check_shape(document)
    if problems:
        return InvalidSettings.of(source, problems)
    settings = msgspec.convert(document, Settings)
    broken_rules = check_rules(settings)
    if broken_rules:
        return InvalidSettings.of(source, broken_rules)
    return settings


def _unreadable(path: pathlib.Path, detail: str) -> InvalidSettings:
    return InvalidSettings.of(str(path), (SettingsProblem('$', detail),))
