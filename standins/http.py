"""Minimal HTTP/1.1 server with JSON bodies, used by the stand-ins.

It runs on trio and leaves the protocol to h11.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import h11
import trio

_READ_BYTES = 65_536

Reply = tuple[int, Any]
JsonHandler = Callable[[str, str, Any], Awaitable[Reply]]


async def serve_http(stream: trio.abc.Stream, handler: JsonHandler) -> None:
    """Serve the requests of one connection until it closes.

    ``handler`` gets the method, the target and the decoded JSON body (``None``
    if the body is empty) and returns the status and the JSON response. A
    malformed body is answered with status 400; a protocol or socket error
    closes the connection without a response.
    """
    protocol = h11.Connection(h11.SERVER)
    try:
        while await _serve_request(stream, protocol, handler):
            protocol.start_next_cycle()
    except (h11.ProtocolError, trio.BrokenResourceError, OSError):
        await trio.aclose_forcefully(stream)
    finally:
        await trio.aclose_forcefully(stream)


async def _serve_request(
    stream: trio.abc.Stream,
    protocol: h11.Connection,
    handler: JsonHandler,
) -> bool:
    request = await _next_event(stream, protocol)
    if not isinstance(request, h11.Request):
        return False
    body = b''
    event = await _next_event(stream, protocol)
    while isinstance(event, h11.Data):
        body += event.data
        event = await _next_event(stream, protocol)
    try:
        document = json.loads(body or b'null')
    except ValueError:
        status, answer = 400, {'error': 'malformed JSON'}
    else:
        method, target = request.method.decode(), request.target.decode()
        status, answer = await handler(method, target, document)
    await _send_response(stream, protocol, status, json.dumps(answer).encode())
    return protocol.our_state is h11.DONE


async def _next_event(stream: trio.abc.Stream, protocol: h11.Connection) -> Any:
    event = protocol.next_event()
    while event is h11.NEED_DATA:
        protocol.receive_data(await stream.receive_some(_READ_BYTES))
        event = protocol.next_event()
    return event


async def _send_response(
    stream: trio.abc.Stream,
    protocol: h11.Connection,
    status: int,
    body: bytes,
) -> None:
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    response = h11.Response(status_code=status, headers=headers)
    sent = protocol.send(response) or b''
    sent += protocol.send(h11.Data(data=body)) or b''
    sent += protocol.send(h11.EndOfMessage()) or b''
    await stream.send_all(sent)
