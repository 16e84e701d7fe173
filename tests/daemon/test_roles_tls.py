"""Tests of all daemon roles over mutual TLS, with a test authority."""

from __future__ import annotations

import functools
import io
import ssl

import httpx
import msgspec
import pytest
import trio
import trustme

from borageward.access import open_tls
from borageward.clock import SystemClock
from borageward.controlclient import open_grpc_client
from borageward.daemon.process import run_process
from borageward.daemon.roles import open_roles
from borageward.failures import Failure
from borageward.messages.control import ReadControl
from borageward.messages.query import EntrySnapshot
from borageward.settings import (
    ControlAddress,
    ControlSettings,
    EntrySettings,
    GuardSettings,
    Settings,
    TlsSettings,
    VoterAddress,
)
from borageward.telemetry import EventLog
from borageward.transport import parse_address
from standins.ports import free_addresses
from standins.runner import RunnerStandIn

_QUERY = b'{"sentence":"show workers"}'


@pytest.fixture(name='tls')
def _tls(tmp_path):
    authority = trustme.CA()
    issued = authority.issue_cert(
        '127.0.0.1',
        common_name='all',
        organization_unit_name='control',
    )
    chain, key, trusted = (
        tmp_path / name for name in ('certificate', 'key', 'authority')
    )
    chain.write_bytes(issued.cert_chain_pems[0].bytes())
    key.write_bytes(issued.private_key_pem.bytes())
    trusted.write_bytes(authority.cert_pem.bytes())
    return TlsSettings('mutual', str(chain), str(key), str(trusted))


async def _settings(tls, folder, nursery):
    grpc, member, http, *links = free_addresses(5)
    runner = await nursery.start(
        functools.partial(
            trio.serve_tcp,
            RunnerStandIn(8, io.StringIO()).serve,
            0,
            host='127.0.0.1',
        ),
    )
    port = runner[0].socket.getsockname()[1]
    control = (ControlAddress(grpc, member),)
    return Settings(
        'viti-west',
        'nadi-depot',
        tls,
        control=ControlSettings(
            'c1',
            str(folder),
            grpc,
            member,
            (VoterAddress('c1', grpc, member),),
        ),
        entry=EntrySettings('e1', http, links[0], control),
        guard=GuardSettings(
            'w1',
            'dispatch',
            links[1],
            f'127.0.0.1:{port}',
            control,
        ),
    )


async def _wait_for_workers(url, context):
    async with httpx.AsyncClient(verify=context, trust_env=False) as client:
        while True:
            reply = await client.post(f'{url}/v1/query', content=_QUERY)
            snapshot = msgspec.json.decode(reply.content, type=EntrySnapshot)
            if snapshot.workers:
                return snapshot.workers
            await trio.sleep(0.05)


async def _assert_refused(url, context):
    async with httpx.AsyncClient(verify=context, trust_env=False) as client:
        with pytest.raises(httpx.HTTPError):
            await client.get(f'{url}/healthz')


async def _handshake(address, context):
    parsed = parse_address(address)
    stream = trio.SSLStream(
        await trio.open_tcp_stream(parsed.host, parsed.port),
        context,
        server_hostname=parsed.host,
    )
    with trio.fail_after(60):
        await stream.do_handshake()
    return stream


async def test_roles_need_certificates(tls, tmp_path, nursery):
    """Guards against roles that use plain text or cannot connect over TLS.

    The HTTP and frame listeners must refuse a client without a certificate,
    the HTTP and gRPC servers one without TLS.
    """
    settings = await _settings(tls, tmp_path / 'data', nursery)
    files = open_tls(tls)
    roles = open_roles(settings, SystemClock(), EventLog(), files)
    for role in roles:
        assert await role.start(nursery) is None
    http = settings.entry.http_address
    # A listed worker shows that the entry and the guard have registered and
    # are connected.
    with trio.fail_after(60):
        workers = await _wait_for_workers(f'https://{http}', files.client)
    assert [worker.worker for worker in workers] == ['w1']
    await _assert_refused(f'http://{http}', files.client)
    no_certificate = ssl.create_default_context(cafile=tls.authority)
    await _assert_refused(f'https://{http}', no_certificate)
    for frame_address in (
        settings.control.member_address,
        settings.entry.link_address,
        settings.guard.link_address,
    ):
        stream_with_certificate = await _handshake(frame_address, files.client)
        assert stream_with_certificate.getpeercert()
        await trio.aclose_forcefully(stream_with_certificate)
        # TLS 1.3 reports a refused certificate after the handshake.
        stream_without_certificate = await _handshake(
            frame_address, no_certificate
        )
        with pytest.raises(trio.BrokenResourceError):
            await stream_without_certificate.receive_some(1)
    address = parse_address(settings.control.address)
    plain = open_grpc_client([address], SystemClock())
    assert isinstance(await plain.call(ReadControl(), 500), Failure)
    await plain.close()
    for started in reversed(roles):
        await started.close()
    nursery.cancel_scope.cancel()


async def test_process_needs_its_files(tmp_path):
    """Guards against a process that falls back to plain text.

    It must return a failure when its TLS files cannot be read.
    """
    missing = TlsSettings('mutual', 'no.pem', 'no.pem', 'no.pem')
    settings = Settings('viti-west', 'nadi-depot', missing)
    with trio.fail_after(60):
        failure = await run_process(settings)
    assert 'No such file' in failure.detail
