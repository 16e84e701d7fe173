"""JSON schema of the settings document."""

from __future__ import annotations

import functools
from typing import Any

import msgspec

from borageward.settings.document import Settings

DIALECT = 'https://json-schema.org/draft/2020-12/schema'


@functools.cache
def settings_schema() -> dict[str, Any]:
    """Return the JSON schema, in which no object accepts unknown keys.

    The result is cached and must not be changed.
    """
    schema = msgspec.json.schema(Settings)
    for definition in schema['$defs'].values():
        definition['additionalProperties'] = False
    return {'$schema': DIALECT, 'title': 'Settings of boragewardd', **schema}
