"""Program that writes the generated reference files under docs/."""

from __future__ import annotations

import pathlib
import sys

from borageward.settings.reference import reference_page, schema_text
from borageward.telemetry.events import events_page


def reference_files() -> dict[str, str]:
    """Return the texts of the generated files by file name under docs/."""
    return {
        'settings.schema.json': schema_text(),
        'events.md': events_page(),
        'settings.md': reference_page(),
    }


def write_reference(folder: pathlib.Path) -> None:
    """Write the generated files to a folder, replacing existing ones."""
    for name, text in reference_files().items():
        (folder / name).write_text(text, encoding='utf-8')


if __name__ == '__main__':
    write_reference(pathlib.Path(sys.argv[1]))
