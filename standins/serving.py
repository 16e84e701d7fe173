"""TCP serving and common command-line arguments of the stand-ins."""

from __future__ import annotations

import argparse
import functools
import signal
import sys
from typing import Any

import trio


async def serve_until_stopped(
    server: Any,
    arguments: argparse.Namespace,
) -> None:
    """Listen on TCP, print the bound address and serve connections.

    Returns after SIGTERM or once ``stop_after_s`` seconds have passed.
    """
    host, _, port = arguments.address.rpartition(':')
    listeners = await trio.open_tcp_listeners(int(port), host=host)
    bound = listeners[0].socket.getsockname()
    sys.stdout.write(f'{bound[0]}:{bound[1]}\n')
    sys.stdout.flush()
    with trio.move_on_after(arguments.stop_after_s):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                functools.partial(
                    trio.serve_listeners,
                    server.serve,
                    listeners,
                ),
            )
            with trio.open_signal_receiver(signal.SIGTERM) as signals:
                await anext(signals)
            nursery.cancel_scope.cancel()


def add_common_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options for the listening address and the serving time."""
    parser.add_argument('--address', default='127.0.0.1:0')
    parser.add_argument('--stop-after-s', type=float, default=float('inf'))
