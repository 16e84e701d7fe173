"""Types of the settings values, with their ranges and patterns."""

from __future__ import annotations

from typing import Annotated, Literal, TypeAlias

import msgspec

_HOUR_MS = 3_600_000
_DAY_MS = 86_400_000
_MAX_SLOTS = 4096
_MAX_GUARDS = 10_000
_MAX_BATCH_WAIT_MS = 100
_MAX_RESULT_BYTES = 16_777_216
_MIN_SNAPSHOT_ENTRIES = 100
_MAX_SNAPSHOT_ENTRIES = 10_000_000
_MAX_NAME_LENGTH = 63

NAME_PATTERN = '^[a-z0-9][a-z0-9-]*$'
ADDRESS_PATTERN = r'^.+:\d{1,5}$'

Name: TypeAlias = Annotated[
    str,
    msgspec.Meta(pattern=NAME_PATTERN, max_length=_MAX_NAME_LENGTH),
]
AddressText: TypeAlias = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
Folder: TypeAlias = Annotated[str, msgspec.Meta(min_length=1)]
LogLevel: TypeAlias = Literal['debug', 'info', 'warning', 'error']
TlsMode: TypeAlias = Literal['mutual', 'off']
IntervalMs: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=_HOUR_MS)]
RetentionMs: TypeAlias = Annotated[int, msgspec.Meta(ge=1000, le=_DAY_MS)]
BatchWaitMs: TypeAlias = Annotated[
    float,
    msgspec.Meta(ge=0, le=_MAX_BATCH_WAIT_MS),
]
SlotCount: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
GuardCount: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=_MAX_GUARDS)]
ResultBytes: TypeAlias = Annotated[
    int,
    msgspec.Meta(ge=1024, le=_MAX_RESULT_BYTES),
]
EntryCount: TypeAlias = Annotated[
    int,
    msgspec.Meta(ge=_MIN_SNAPSHOT_ENTRIES, le=_MAX_SNAPSHOT_ENTRIES),
]
