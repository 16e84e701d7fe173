"""Generated reference of the settings: JSON schema and page."""

from __future__ import annotations

import json
from typing import Any

from borageward.settings.schema import settings_schema

_RANGE_KEYS = (
    ('minimum', 'from'),
    ('maximum', 'to'),
    ('pattern', 'matches'),
    ('minItems', 'at least'),
)
_INTRODUCTION = """\
# Settings

Generated from `src/borageward/settings/document.py` by `scripts/reference`;
edit the descriptions there. The daemon checks the whole document before it
starts anything and reports every problem with its JSON path. An address is an
IP number and a port. A role runs when its section is present. The key of a
duration ends with its unit.
"""


def schema_text() -> str:
    """Return the text of ``docs/settings.schema.json``."""
    return f'{json.dumps(settings_schema(), indent=2)}\n'


def reference_page() -> str:
    """Return the text of ``docs/settings.md``."""
    definitions = settings_schema()['$defs']
    sections = [_section(definitions[name]) for name in definitions]
    return '\n'.join((_INTRODUCTION, *sections))


def _section(definition: dict[str, Any]) -> str:
    required = definition.get('required', ())
    rows = [
        _row(key, schema, key in required)
        for key, schema in definition['properties'].items()
    ]
    header = (
        f'## {definition["title"]}',
        '',
        definition['description'],
        '',
        '| key | type | default | meaning |',
        '|---|---|---|---|',
    )
    return '\n'.join((*header, *rows, ''))


def _row(key: str, schema: dict[str, Any], required: bool) -> str:
    default = 'required'
    if not required:
        default = f'`{json.dumps(schema["default"])}`'
    kind = _type_text(schema).replace('|', r'\|')
    return f'| `{key}` | {kind} | {default} | {schema["description"]} |'


def _type_text(schema: dict[str, Any]) -> str:
    if schema.get('anyOf', ()):
        return _type_text(schema['anyOf'][0])
    if schema.get('enum', ()):
        return ' or '.join(f'`{choice}`' for choice in schema['enum'])
    if schema.get('type') == 'array':
        return f'list of {_type_text(schema["items"])}'
    reference = str(schema.get('$ref', ''))
    if reference:
        return reference.rpartition('/')[2]
    bounds = [
        f'{word} `{schema[key]}`' for key, word in _RANGE_KEYS if key in schema
    ]
    return ' '.join((schema['type'], *bounds))
