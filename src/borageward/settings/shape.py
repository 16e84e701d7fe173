"""Validation of a document against the schema, with every problem found."""

from __future__ import annotations

import difflib
import re
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

from borageward.settings.problem import SettingsProblem
from borageward.settings.schema import settings_schema
from borageward.settings.syntax import JsonObject

_TYPES: Mapping[str, tuple[type, ...]] = MappingProxyType(
    {
        'string': (str,),
        'integer': (int,),
        'number': (int, float),
        'boolean': (bool,),
        'array': (list,),
        'object': (JsonObject,),
    }
)
_Schema: TypeAlias = dict[str, Any]
_UNIT_SUFFIX = re.compile('_(ms|s|us|seconds|minutes|bytes|kb|mb)$')


def check_shape(document: Any) -> list[SettingsProblem]:
    """Return a problem for each key or value that the schema rejects.

    Values are checked one by one; rules between values are checked later.
    """
    return list(_check(document, settings_schema(), '$'))


def _check(
    found: Any,
    schema: _Schema,
    path: str,
) -> Iterator[SettingsProblem]:
    schema = _resolve(schema)
    choices = schema.get('enum', ())
    if schema.get('anyOf', ()):
        yield from _check_optional(found, schema, path)
    elif choices:
        yield from _check_choice(found, choices, path)
    elif not _has_type(found, schema['type']):
        yield SettingsProblem(path, _type_detail(found, schema['type'], path))
    elif schema['type'] != 'boolean':
        yield from _CHECKS[schema['type']](found, schema, path)


def _check_optional(
    found: Any,
    schema: _Schema,
    path: str,
) -> Iterator[SettingsProblem]:
    if found is not None:
        yield from _check(found, schema['anyOf'][0], path)


def _resolve(schema: _Schema) -> _Schema:
    reference = str(schema.get('$ref', ''))
    if not reference:
        return schema
    name = reference.rpartition('/')[2]
    definition: _Schema = settings_schema()['$defs'][name]
    return definition


def _has_type(found: Any, name: str) -> bool:
    if isinstance(found, bool) and name != 'boolean':
        return False
    return isinstance(found, _TYPES[name])


def _type_detail(found: Any, name: str, path: str) -> str:
    unit = _UNIT_SUFFIX.search(path)
    expected = f'{name} of {unit.group(1)}' if unit else name
    return f'expected {expected}, found {_describe(found)}'


def _describe(found: Any) -> str:
    if found is None:
        return 'null'
    for name, types in _TYPES.items():
        if isinstance(found, types) and _has_type(found, name):
            shown = '' if name in {'array', 'object'} else f' {found!r}'
            return f'{name}{shown}'
    return type(found).__name__


def _check_choice(
    found: Any,
    choices: list[str],
    path: str,
) -> Iterator[SettingsProblem]:
    if found not in choices:
        listed = ', '.join(choices)
        yield SettingsProblem(path, f'expected one of {listed}')


def _check_object(
    found: JsonObject,
    schema: _Schema,
    path: str,
) -> Iterator[SettingsProblem]:
    properties = schema['properties']
    for repeated in found.repeated:
        yield SettingsProblem(f'{path}.{repeated}', 'key is given twice')
    for key, member in found.items():
        expected = properties.get(key)
        if expected is None:
            yield SettingsProblem(
                f'{path}.{key}', _unknown_key_detail(key, properties)
            )
        else:
            yield from _check(member, expected, f'{path}.{key}')
    for key in schema.get('required', ()):
        if key not in found:
            yield SettingsProblem(f'{path}.{key}', 'required key is missing')


def _unknown_key_detail(key: str, properties: _Schema) -> str:
    stem = _UNIT_SUFFIX.sub('', key)
    same_stem = [
        name for name in properties if _UNIT_SUFFIX.sub('', name) == stem
    ]
    if same_stem:
        return f'unknown key; the unit belongs to the key {same_stem[0]!r}'
    close = difflib.get_close_matches(key, properties, 1)
    return f'unknown key; did you mean {close[0]!r}' if close else 'unknown key'


def _check_array(
    found: list[Any],
    schema: _Schema,
    path: str,
) -> Iterator[SettingsProblem]:
    if len(found) < schema.get('minItems', 0):
        yield SettingsProblem(path, 'must not be empty')
    for position, element in enumerate(found):
        yield from _check(element, schema['items'], f'{path}[{position}]')


def _check_number(
    found: float,
    schema: _Schema,
    path: str,
) -> Iterator[SettingsProblem]:
    lowest = schema.get('minimum', found)
    highest = schema.get('maximum', found)
    if not lowest <= found <= highest:
        yield SettingsProblem(
            path,
            f'{found} is outside the range {lowest} to {highest}',
        )


def _check_string(
    found: str,
    schema: _Schema,
    path: str,
) -> Iterator[SettingsProblem]:
    length = len(found)
    if length < schema.get('minLength', 0):
        yield SettingsProblem(path, 'must not be empty')
    if length > schema.get('maxLength', length):
        yield SettingsProblem(
            path, f'has more characters than {schema["maxLength"]}'
        )
    if not re.search(schema.get('pattern', ''), found):
        yield SettingsProblem(
            path,
            f'{found!r} does not match {schema["pattern"]}',
        )


_Check: TypeAlias = Callable[[Any, _Schema, str], Iterator[SettingsProblem]]
_CHECKS: Mapping[str, _Check] = MappingProxyType(
    {
        'object': _check_object,
        'array': _check_array,
        'integer': _check_number,
        'number': _check_number,
        'string': _check_string,
    }
)
