"""JSON objects as the settings reader sees them."""

from __future__ import annotations

import collections
from typing import Any


class JsonObject(dict[str, Any]):
    """JSON object that remembers the keys given more than once."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        """Keep the last value of each key."""
        super().__init__(pairs)
        counts = collections.Counter(key for key, _ in pairs)
        self.repeated = [key for key in counts if counts[key] > 1]
