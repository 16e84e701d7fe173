"""HTTP interface of an entry as an ASGI application.

The paths of jobs, queries and probes are served without a framework, because
quart would add to the response time of every request. Quart serves the rest.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from http import HTTPStatus
from typing import Any, TypeAlias

import trio

from borageward.entry.answers import Answer, refused_answer
from borageward.entry.body import BodyReader
from borageward.entry.jobmanager import JobManager
from borageward.entry.request import decode_request
from borageward.failures import Failure, FailureReason
from borageward.identity import parse_job_id
from borageward.language import QuerySource, answer_request
from borageward.telemetry import EventLog, Metrics

Scope: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Any]]
Send: TypeAlias = Callable[[Any], Awaitable[None]]
Application: TypeAlias = Callable[[Scope, Receive, Send], Awaitable[None]]

MAX_DEADLINE_MS = 600_000.0

MAX_QUERY_BYTES = 16_384

_QUERY_PATH = '/v1/query'
_JOBS_PATH = '/v1/jobs'
_JOB_PREFIX = '/v1/jobs/'
_JSON_HEADER = (b'content-type', b'application/json')


class HttpApplication:
    """Routes requests and answers them with JSON documents.

    Errors are answered with a reason too, and never with a traceback.
    """

    def __init__(
        self,
        job_manager: JobManager,
        query_source: QuerySource,
        fallback: Application,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        """Prepare the application.

        ``fallback`` serves the lifespan of the server and every path except
        those of jobs, queries and probes.
        """
        self._job_manager = job_manager
        self._query_source = query_source
        self._fallback = fallback
        self._log = log
        self._metrics = metrics
        self._body_reader = BodyReader()
        self._active_requests = 0
        self._idle = trio.Event()

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request, or the lifespan of the server."""
        if scope['type'] != 'http':
            await self._fallback(scope, receive, send)
            return
        self._active_requests += 1
        try:  # noqa: WPS501 the request ends on every path
            await self._serve(scope, receive, send)
        finally:
            self._active_requests -= 1
            if self._active_requests == 0:
                self._idle.set()
                self._idle = trio.Event()

    async def drain(self) -> None:
        """Wait until every request in progress is answered."""
        while self._active_requests:
            await self._idle.wait()

    async def _serve(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        try:
            answer = await self._answer(scope, receive)
        except Exception as error:  # noqa: BLE001
            self._log.warning('request_failed', error=repr(error))
            answer = _internal_error()
        if answer is None:
            await self._fallback(scope, receive, send)
            return
        self._metrics.count(f'http.{answer.status}')
        await _send_answer(send, answer)

    async def _answer(self, scope: Scope, receive: Receive) -> Answer | None:
        """Return the answer, or ``None`` if the fallback serves the path."""
        path = scope['path']
        method = scope['method']
        if path == _JOBS_PATH:
            if method == 'POST':
                return await self._submit(scope, receive)
            return _method_not_allowed()
        if path.startswith(_JOB_PREFIX):
            return await self._serve_job(method, path[len(_JOB_PREFIX) :])
        if path == _QUERY_PATH:
            if method == 'POST':
                return await self._query(scope, receive)
            return _method_not_allowed()
        if path == '/healthz':
            return Answer(HTTPStatus.OK, b'{"state":"ok"}')
        if path == '/readyz':
            return self._readiness()
        return None

    async def _submit(self, scope: Scope, receive: Receive) -> Answer:
        limit = self._job_manager.configuration.limits.max_body_bytes
        async with self._body_reader.read(scope, receive, limit) as body:
            if isinstance(body, Failure):
                return refused_answer(None, body)
            request = decode_request(body, MAX_DEADLINE_MS)
            if isinstance(request, Failure):
                return refused_answer(None, request)
            # The wait is inside the block, so that the body counts as held
            # until the answer, also for a caller that joins a known job.
            return await self._job_manager.submit(request)

    async def _query(self, scope: Scope, receive: Receive) -> Answer:
        limit = MAX_QUERY_BYTES
        async with self._body_reader.read(scope, receive, limit) as body:
            if isinstance(body, Failure):
                return refused_answer(None, body)
            document = answer_request(body, self._query_source)
            if isinstance(document, Failure):
                return refused_answer(None, document)
            return Answer(HTTPStatus.OK, document)

    async def _serve_job(self, method: str, text: str) -> Answer:
        job_id = parse_job_id(text)
        if isinstance(job_id, Failure):
            return refused_answer(None, job_id)
        if method == 'GET':
            return await self._job_manager.read(job_id)
        if method == 'DELETE':
            return await self._job_manager.cancel(job_id)
        return _method_not_allowed()

    def _readiness(self) -> Answer:
        if self._job_manager.is_ready:
            return Answer(HTTPStatus.OK, b'{"state":"ready"}')
        return Answer(HTTPStatus.SERVICE_UNAVAILABLE, b'{"state":"not_ready"}')


async def _send_answer(send: Send, answer: Answer) -> None:
    headers = [
        _JSON_HEADER,
        (b'content-length', str(len(answer.body)).encode()),
    ]
    if answer.retry_after_s:
        hint = str(answer.retry_after_s).encode()
        headers.append((b'retry-after', hint))
    await send(
        {
            'type': 'http.response.start',
            'status': int(answer.status),
            'headers': headers,
        },
    )
    await send({'type': 'http.response.body', 'body': answer.body})


def _method_not_allowed() -> Answer:
    refused = refused_answer(
        None,
        Failure(FailureReason.INVALID_REQUEST, 'method not allowed'),
    )
    return Answer(HTTPStatus.METHOD_NOT_ALLOWED, refused.body)


def _internal_error() -> Answer:
    refused = refused_answer(
        None,
        Failure(FailureReason.INVALID_REQUEST, 'internal error'),
    )
    return Answer(HTTPStatus.INTERNAL_SERVER_ERROR, refused.body)
