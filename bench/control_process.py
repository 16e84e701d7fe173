"""Control process that ``bench.claims`` starts and kills."""

from __future__ import annotations

import pathlib
import sys

import msgspec
import trio

from borageward.clock import SystemClock
from borageward.control.service import ControlService
from borageward.settings import ControlSettings
from borageward.telemetry import EventLog


async def serve(path: str) -> None:
    """Run control with the JSON settings file ``path`` until killed.

    Raises ``OSError`` or ``msgspec.DecodeError`` if the file is unusable.
    """
    document = pathlib.Path(path).read_bytes()
    settings = msgspec.json.decode(document, type=ControlSettings)
    service = ControlService(settings, SystemClock(), EventLog())
    async with trio.open_nursery() as nursery:
        await service.start(nursery)


if __name__ == '__main__':
    trio.run(serve, sys.argv[1])
