"""Unary gRPC calls bridged into trio.

The generic method and the msgspec codec need no protobuf and so no generated
code. grpcio's threads reach trio through its entry-queue token; grpc.aio is
not used, because it needs asyncio.
"""

from __future__ import annotations

from concurrent import futures
from typing import Any

import grpc
import trio

from borageward.clock import Milliseconds
from borageward.failures import Failure, FailureReason
from borageward.transport.address import Address
from borageward.transport.codec import Codec
from borageward.transport.peer import Handler

_METHOD = '/borageward.Control/Call'
_MAX_MESSAGE_BYTES = 67_108_864
_SERVER_THREADS = 64
_MS_PER_SECOND = 1000.0
_STOP_GRACE_S = 0.2
_OPTIONS = (
    ('grpc.max_send_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
    # A restarted replica has to be reachable again within an election.
    ('grpc.initial_reconnect_backoff_ms', 50),
    ('grpc.min_reconnect_backoff_ms', 50),
    ('grpc.max_reconnect_backoff_ms', 500),
    # Peers are IP numbers on the internal network, never behind a proxy.
    ('grpc.enable_http_proxy', 0),
    # Two processes must never share a port unnoticed.
    ('grpc.so_reuseport', 0),
    # Each peer object owns its connection, also when several share a process.
    ('grpc.use_local_subchannel_pool', 1),
)


class GrpcServer:
    """Serve a handler over gRPC."""

    def __init__(
        self,
        address: Address,
        handler: Handler,
        request_union: Any,
        credentials: grpc.ServerCredentials | None = None,
    ) -> None:
        """Prepare the server for requests of a union of messages."""
        self._address = address
        self._handler = handler
        self._codec: Codec[Any] = Codec(request_union)
        self._credentials = credentials
        self._token: trio.lowlevel.TrioToken | None = None
        self._pool = futures.ThreadPoolExecutor(_SERVER_THREADS)
        self._server = grpc.server(self._pool, options=_OPTIONS)

    @property
    def address(self) -> Address:
        """Return the address in use, with the port after ``start``."""
        return self._address

    async def start(self) -> None:
        """Bind and serve; ``OSError`` when the address is taken."""
        self._token = trio.lowlevel.current_trio_token()
        self._server.add_generic_rpc_handlers(
            (_GenericHandler(self._method()),)
        )
        port = self._bind()
        if port == 0:
            raise OSError(f'cannot listen on {self._address}')
        self._address = Address(self._address.host, port)
        self._server.start()

    async def close(self) -> None:
        """Stop serving; requests in progress get a short grace."""
        stopped = self._server.stop(_STOP_GRACE_S)
        await trio.to_thread.run_sync(stopped.wait, abandon_on_cancel=True)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _bind(self) -> int:
        if self._credentials is None:
            return self._server.add_insecure_port(str(self._address))
        return self._server.add_secure_port(
            str(self._address),
            self._credentials,
        )

    def _method(self) -> grpc.RpcMethodHandler:
        return grpc.unary_unary_rpc_method_handler(
            self._serve,
            request_deserializer=self._codec.decode,
            response_serializer=self._codec.encode,
        )

    def _serve(self, request: Any, context: grpc.ServicerContext) -> Any:
        if isinstance(request, Failure):
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, request.detail)
        try:
            return trio.from_thread.run(
                self._handler,
                request,
                trio_token=self._token,
            )
        except (trio.RunFinishedError, trio.Cancelled):
            context.abort(grpc.StatusCode.UNAVAILABLE, 'shutting down')


class _GenericHandler(grpc.GenericRpcHandler):
    """Route of the only method."""

    def __init__(self, method: grpc.RpcMethodHandler) -> None:
        self._method = method

    def service(
        self,
        handler_call_details: grpc.HandlerCallDetails,
    ) -> grpc.RpcMethodHandler | None:
        """Return the handler of the method, or nothing for another name."""
        if handler_call_details.method == _METHOD:
            return self._method
        return None


class GrpcPeer:
    """Client of a ``GrpcServer``."""

    def __init__(
        self,
        address: Address,
        reply_union: Any,
        credentials: grpc.ChannelCredentials | None = None,
    ) -> None:
        """Prepare the channel; it connects when first used."""
        codec: Codec[Any] = Codec(reply_union)
        self._address = address
        self._channel = _open_channel(address, credentials)
        self._method = self._channel.unary_unary(
            _METHOD,
            request_serializer=codec.encode,
            response_deserializer=codec.decode,
        )

    async def call(
        self,
        request: Any,
        timeout_ms: Milliseconds,
    ) -> Any | Failure:
        """Return the reply, or ``TIMEOUT`` or ``LINK_BROKEN``."""
        token = trio.lowlevel.current_trio_token()
        done = trio.Event()
        future = self._method.future(
            request,
            timeout=timeout_ms / _MS_PER_SECOND,
        )
        future.add_done_callback(lambda _future: _notify(token, done))
        try:
            await done.wait()
        except trio.Cancelled:
            future.cancel()
            raise
        return self._reply(future)

    async def close(self) -> None:
        """Close the channel; calls in progress fail."""
        self._channel.close()

    def _reply(self, future: Any) -> Any | Failure:
        code = future.code()
        if code is grpc.StatusCode.OK:
            return future.result()
        if code is grpc.StatusCode.DEADLINE_EXCEEDED:
            return Failure(
                FailureReason.TIMEOUT,
                f'no reply from {self._address}',
            )
        return Failure(
            FailureReason.LINK_BROKEN,
            f'{self._address}: {future.details()}',
        )


def _open_channel(
    address: Address,
    credentials: grpc.ChannelCredentials | None,
) -> grpc.Channel:
    if credentials is None:
        return grpc.insecure_channel(str(address), options=_OPTIONS)
    return grpc.secure_channel(str(address), credentials, options=_OPTIONS)


def _notify(token: trio.lowlevel.TrioToken, done: trio.Event) -> None:
    try:
        token.run_sync_soon(done.set)
    except trio.RunFinishedError:
        # The event loop ended before the call; nobody waits for the reply.
        return
