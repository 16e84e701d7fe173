"""HTTP calls from the command line to entries."""

from __future__ import annotations

import httpx
import msgspec
import trio

from borageward.cli.target import Target
from borageward.clock import SystemClock
from borageward.failures import Failure, FailureReason
from borageward.language import CancelJob, EntryStatus
from borageward.messages.query import EntrySnapshot, QueryRequest
from borageward.transport import Address

_REQUEST_TIMEOUT_S = 5.0
_MAX_ERROR_TEXT_CHARS = 200


async def query_entries(target: Target, sentence: str) -> list[EntryStatus]:
    """Send a query to all entries concurrently.

    Returns one status for each entry, in the order of the target; the status
    of an entry that gave no answer holds the failure.
    """
    statuses: dict[Address, EntryStatus] = {}
    async with _client(target) as client, trio.open_nursery() as nursery:
        for address in target.entries:
            nursery.start_soon(
                _query_entry, client, address, sentence, statuses
            )
    return [statuses[address] for address in target.entries]


async def cancel_job(target: Target, command: CancelJob) -> str | Failure:
    """Cancel a job, trying the entries in turn until one cancels it.

    Returns the text of the report, or the failure of the last entry tried.
    """
    failure = Failure(FailureReason.LINK_BROKEN, 'no entry given; use --entry')
    async with _client(target) as client:
        for address in target.entries:
            path = f'/v1/jobs/{command.job_id}'
            reply = await _send_request(client, 'DELETE', address, path)
            if not isinstance(reply, Failure):
                return f'{command.job_id}: cancelled at {address}'
            failure = reply
    return failure


def _client(target: Target) -> httpx.AsyncClient:
    verify = True if target.tls is None else target.tls.client
    scheme = 'http' if target.tls is None else 'https'
    return httpx.AsyncClient(
        verify=verify,
        timeout=_REQUEST_TIMEOUT_S,
        # Entries have IP addresses on the internal network, so the proxy
        # variables of the environment do not apply.
        trust_env=False,
        base_url=f'{scheme}://entry',
    )


async def _query_entry(
    client: httpx.AsyncClient,
    address: Address,
    sentence: str,
    statuses: dict[Address, EntryStatus],
) -> None:
    clock = SystemClock()
    requested_at_ms = clock.now_ms()
    body = msgspec.json.encode(QueryRequest(sentence))
    reply = await _send_request(client, 'POST', address, '/v1/query', body)
    snapshot = reply if isinstance(reply, Failure) else _decode_snapshot(reply)
    age_ms = clock.now_ms() - requested_at_ms
    statuses[address] = EntryStatus(str(address), snapshot, age_ms)


async def _send_request(
    client: httpx.AsyncClient,
    method: str,
    address: Address,
    path: str,
    body: bytes = b'',
) -> bytes | Failure:
    url = client.base_url.copy_with(host=address.host, port=address.port)
    try:
        reply = await client.request(method, url.join(path), content=body)
    except httpx.TimeoutException:
        return Failure(FailureReason.TIMEOUT, f'no reply from {address}')
    except httpx.HTTPError as error:
        return Failure(FailureReason.LINK_BROKEN, f'{address}: {error}')
    if reply.is_success:
        return reply.content
    return _refusal_failure(reply, address)


def _refusal_failure(reply: httpx.Response, address: Address) -> Failure:
    detail = f'{address}: HTTP status {reply.status_code}'
    media_type = reply.headers.get('content-type', '')
    if media_type.startswith('application/json'):
        text = reply.text[:_MAX_ERROR_TEXT_CHARS]
        detail = f'{detail}: {text}'
    if reply.request.method == 'DELETE':
        return Failure(FailureReason.UNKNOWN_JOB, detail)
    return Failure(FailureReason.INVALID_REQUEST, detail)


def _decode_snapshot(document: bytes) -> EntrySnapshot | Failure:
    try:
        return msgspec.json.decode(document, type=EntrySnapshot)
    except msgspec.DecodeError as error:
        return Failure(FailureReason.MALFORMED_MESSAGE, str(error))
