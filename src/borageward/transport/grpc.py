"""Unary gRPC calls for trio programs.

All messages use one generic method and the msgspec codec, so there is no
protobuf schema and no generated code. grpcio's threads call into the trio
event loop through a trio token. grpc.aio is not used, because it requires
asyncio.
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

_METHOD_PATH = '/borageward.Control/Call'
_MAX_MESSAGE_BYTES = 67_108_864
_SERVER_THREADS = 64
_MS_PER_SECOND = 1000.0
_STOP_GRACE_S = 0.2
_GRPC_OPTIONS = (
    ('grpc.max_send_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
    # A restarted replica must be reachable again within one election.
    ('grpc.initial_reconnect_backoff_ms', 50),
    ('grpc.min_reconnect_backoff_ms', 50),
    ('grpc.max_reconnect_backoff_ms', 500),
    # Peers are IP addresses on the internal network, never behind a proxy.
    ('grpc.enable_http_proxy', 0),
    # With SO_REUSEPORT a second process could bind the same port unnoticed.
    ('grpc.so_reuseport', 0),
    # Without a local pool, grpcio shares connections between the channels of
    # a process; each peer object must own its connection.
    ('grpc.use_local_subchannel_pool', 1),
)


class GrpcServer:
    """gRPC server that runs a trio handler for each request.

    A request occupies one thread of the pool until its handler returns, so at
    most ``_SERVER_THREADS`` requests are served at a time.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        request_union: Any,
        credentials: grpc.ServerCredentials | None = None,
    ) -> None:
        """Prepare to serve requests of a union of message types.

        Without credentials the server uses plain text.
        """
        self._address = address
        self._handler = handler
        self._codec: Codec[Any] = Codec(request_union)
        self._credentials = credentials
        self._trio_token: trio.lowlevel.TrioToken | None = None
        self._pool = futures.ThreadPoolExecutor(_SERVER_THREADS)
        self._server = grpc.server(self._pool, options=_GRPC_OPTIONS)

    @property
    def address(self) -> Address:
        """Return the address; its port is the bound one after ``start``."""
        return self._address

    async def start(self) -> None:
        """Bind the address and serve in the current trio event loop.

        Raises ``OSError`` when the address cannot be bound.
        """
        self._trio_token = trio.lowlevel.current_trio_token()
        self._server.add_generic_rpc_handlers(
            (_GenericHandler(self._method_handler()),)
        )
        port = self._bind()
        if port == 0:
            raise OSError(f'cannot listen on {self._address}')
        self._address = Address(self._address.host, port)
        self._server.start()

    async def close(self) -> None:
        """Stop serving.

        Requests in progress are cancelled after ``_STOP_GRACE_S`` seconds.
        """
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

    def _method_handler(self) -> grpc.RpcMethodHandler:
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
                trio_token=self._trio_token,
            )
        except (trio.RunFinishedError, trio.Cancelled):
            context.abort(
                grpc.StatusCode.UNAVAILABLE, 'server is shutting down'
            )


class _GenericHandler(grpc.GenericRpcHandler):
    """Generic handler with a single route, ``_METHOD_PATH``."""

    def __init__(self, method: grpc.RpcMethodHandler) -> None:
        self._method_handler = method

    def service(
        self,
        handler_call_details: grpc.HandlerCallDetails,
    ) -> grpc.RpcMethodHandler | None:
        """Return the method handler, or ``None`` for an unknown path."""
        if handler_call_details.method == _METHOD_PATH:
            return self._method_handler
        return None


class GrpcPeer:
    """Client of a ``GrpcServer``, as a ``Peer``."""

    def __init__(
        self,
        address: Address,
        reply_union: Any,
        credentials: grpc.ChannelCredentials | None = None,
    ) -> None:
        """Create the channel; it connects on the first call.

        ``reply_union`` is the union of reply types. Without credentials the
        channel uses plain text.
        """
        codec: Codec[Any] = Codec(reply_union)
        self._address = address
        self._channel = _open_channel(address, credentials)
        self._method = self._channel.unary_unary(
            _METHOD_PATH,
            request_serializer=codec.encode,
            response_deserializer=codec.decode,
        )

    async def call(
        self,
        request: Any,
        timeout_ms: Milliseconds,
    ) -> Any | Failure:
        """Send a request and return the reply, or a failure.

        The failure is ``TIMEOUT``, ``LINK_BROKEN`` or ``MALFORMED_MESSAGE``.
        When the calling task is cancelled, so is the gRPC call.
        """
        token = trio.lowlevel.current_trio_token()
        done = trio.Event()
        future = self._method.future(
            request,
            timeout=timeout_ms / _MS_PER_SECOND,
        )
        future.add_done_callback(lambda _future: _set_from_thread(token, done))
        try:
            await done.wait()
        except trio.Cancelled:
            future.cancel()
            raise
        return self._reply(future)

    async def close(self) -> None:
        """Close the channel; calls in progress return ``LINK_BROKEN``."""
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
        return grpc.insecure_channel(str(address), options=_GRPC_OPTIONS)
    return grpc.secure_channel(str(address), credentials, options=_GRPC_OPTIONS)


def _set_from_thread(token: trio.lowlevel.TrioToken, done: trio.Event) -> None:
    try:
        token.run_sync_soon(done.set)
    except trio.RunFinishedError:
        # The event loop has ended, so no task waits for the reply.
        return
