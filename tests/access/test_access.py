"""Mutual TLS and roles, with a stand-in authority."""

from __future__ import annotations

import datetime
import subprocess  # noqa: S404
import sys

import pytest
import trustme

from borageward.access import (
    Identity,
    Role,
    authorize,
    authorize_caller,
    identity_of_certificate,
    identity_of_stream,
    open_tls,
)
from borageward.access.grpcfiles import (
    channel_credentials,
    server_credentials,
)
from borageward.failures import Failure, FailureReason
from borageward.messages import control
from borageward.messages.configuration import SetQuota
from borageward.settings import TlsSettings
from borageward.transport import (
    Address,
    FrameConnection,
    FrameListener,
    FramePeer,
)
from borageward.transport.grpc import GrpcPeer, GrpcServer

_LOOPBACK = Address('127.0.0.1', 0)
_EDITOR = Identity('ana', frozenset((Role.EDITOR,)))
_YESTERDAY = datetime.datetime.now(datetime.UTC) - datetime.timedelta(days=1)


@pytest.fixture(name='authority', scope='module')
def _authority():
    return trustme.CA()


def _issue(authority, folder, role='editor', **options):
    issued = authority.issue_cert(
        '127.0.0.1',
        common_name='ana',
        organization_name='dispatch',
        organization_unit_name=role,
        **options,
    )
    return _write(folder, issued, authority)


def _write(folder, issued, authority):
    certificate = folder / 'certificate.pem'
    certificate.write_bytes(b''.join(b.bytes() for b in issued.cert_chain_pems))
    key = folder / 'key.pem'
    key.write_bytes(issued.private_key_pem.bytes())
    trusted = folder / 'authority.pem'
    trusted.write_bytes(authority.cert_pem.bytes())
    return TlsSettings('mutual', str(certificate), str(key), str(trusted))


def _detail(settings):
    outcome = open_tls(settings)
    assert isinstance(outcome, Failure)
    return outcome.detail


def test_guard_loads_no_large_library():
    """Guards against an import that exceeds the memory limit of a guard."""
    script = (
        'import sys, borageward.access, borageward.settings, '
        'borageward.telemetry, borageward.configuration; '
        'print(set(sys.modules) & set(sys.argv[1:]))'
    )
    large = ('grpc', 'cryptography', 'lark', 'httpx', 'matplotlib', 'quart')
    finished = subprocess.run(  # noqa: S603
        [sys.executable, '-c', script, *large],
        capture_output=True,
        check=True,
    )
    assert finished.stdout == b'set()\n'


def test_off_only_when_said():
    """Guards against plain text links when the files cannot be read."""
    assert open_tls(TlsSettings('off')) is None
    missing = TlsSettings('mutual', 'no.pem', 'no.pem', 'no.pem')
    assert 'No such file' in _detail(missing)


def test_faulty_files_are_refused(authority, tmp_path):
    """Guards against a daemon that starts and then fails each handshake."""
    expired = _issue(authority, tmp_path, not_after=_YESTERDAY)
    assert 'expired' in _detail(expired)
    stranger = _write(tmp_path, trustme.CA().issue_cert('127.0.0.1'), authority)
    assert 'certificate' in _detail(stranger)
    settings = _issue(authority, tmp_path)
    other = authority.issue_cert('127.0.0.1')
    (tmp_path / 'key.pem').write_bytes(other.private_key_pem.bytes())
    assert 'mismatch' in _detail(settings)


async def test_frames_need_a_certificate(authority, tmp_path, nursery):
    """Guards against a peer without a certificate, or without identity."""
    files = open_tls(_issue(authority, tmp_path))
    seen = []

    async def serve(stream):
        await stream.do_handshake()
        seen.append(identity_of_stream(stream))
        connection = FrameConnection(stream, bytes)
        await connection.receive()

    listener = FrameListener(_LOOPBACK, serve, files.server)
    await listener.start(nursery)
    plain = FramePeer(listener.address, bytes, nursery)
    refused = await plain.call(b'', 5000)
    assert refused.reason is FailureReason.LINK_BROKEN
    assert not seen
    peer = FramePeer(listener.address, bytes, nursery, files.client)
    await peer.call(b'', 5000)
    assert seen == [Identity('ana', _EDITOR.roles, frozenset(('dispatch',)))]
    await listener.close()


async def test_grpc_with_credentials(authority, tmp_path):
    """Guards against credentials that no peer accepts, or that all do."""
    files = open_tls(_issue(authority, tmp_path))

    async def serve(_request):
        return control.Done()

    server = GrpcServer(
        _LOOPBACK, serve, control.ControlRequest, server_credentials(files)
    )
    await server.start()
    peer = GrpcPeer(
        server.address, control.ControlReply, channel_credentials(files)
    )
    assert await peer.call(control.ReadControl(), 5000) == control.Done()
    plain = GrpcPeer(server.address, control.ControlReply)
    assert isinstance(await plain.call(control.ReadControl(), 2000), Failure)
    await peer.close()
    await plain.close()
    await server.close()


def test_reload_keeps_files_in_use(authority, tmp_path):
    """Guards against a faulty renewal that stops a running process."""
    settings = _issue(authority, tmp_path)
    files = open_tls(settings)
    assert files.reload() is False
    loaded = files.pem
    _issue(authority, tmp_path, not_after=_YESTERDAY)
    assert isinstance(files.reload(), Failure)
    assert files.pem == loaded
    _issue(authority, tmp_path)
    assert files.reload() is True
    assert files.pem != loaded


@pytest.mark.parametrize(
    'subject',
    [
        (),
        ((('commonName', 'ana'),),),
        (
            (('commonName', 'ana'),),
            (('organizationalUnitName', 'root'),),
        ),
    ],
)
def test_certificate_without_identity(subject):
    """Guards against a role that nobody gave."""
    outcome = identity_of_certificate({'subject': subject})
    assert outcome.reason is FailureReason.UNAUTHENTICATED


def _change(author):
    return control.ApplyChange(b'1', 0, SetQuota('dispatch', 4), author, '')


def test_roles_limit_requests():
    """Guards against an editor who approves, or acts as someone else."""
    assert authorize(_EDITOR, _change('ana')) is None
    assert authorize(_EDITOR, control.ReadHistory(5)) is None
    for request in (
        _change('ben'),
        control.Approve(b'1', b'', 0, 'ana'),
        control.RemoveVoter('control-1'),
        control.Claim(1, ()),
    ):
        outcome = authorize(_EDITOR, request)
        assert outcome.reason is FailureReason.FORBIDDEN


def test_every_control_request_has_a_rule():
    """Guards against a request that is refused for everybody."""
    everybody = Identity('ana', frozenset(Role))
    for kind in control.ControlRequest.__args__:
        fields = dict.fromkeys(kind.__struct_fields__, 'ana')
        assert authorize(everybody, kind(**fields)) is None, kind


def test_caller_is_bound_to_its_service():
    """Guards against a caller who submits for another service."""
    caller = Identity('c', frozenset((Role.CALLER,)), frozenset(('dispatch',)))
    assert authorize_caller(caller, 'dispatch') is None
    for identity, service in ((caller, 'forecast'), (_EDITOR, 'dispatch')):
        outcome = authorize_caller(identity, service)
        assert outcome.reason is FailureReason.FORBIDDEN
