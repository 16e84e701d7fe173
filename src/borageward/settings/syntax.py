"""JSON objects that record repeated keys."""

from __future__ import annotations

import collections
from typing import Any


class JsonObject(dict[str, Any]):
    """JSON object with the list of keys that it was given more than once."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        """Create the object from its pairs of key and value, in order.

        A repeated key has its last value.
        """
        super().__init__(pairs)
        counts = collections.Counter(key for key, _ in pairs)
        self.repeated = [key for key in counts if counts[key] > 1]
