"""Tests of mutual TLS and authorization, with a test authority."""

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


def _issue_files(authority, folder, role='editor', **options):
    issued = authority.issue_cert(
        '127.0.0.1',
        common_name='ana',
        organization_name='dispatch',
        organization_unit_name=role,
        **options,
    )
    return _write_files(folder, issued, authority)


def _write_files(folder, issued, authority):
    certificate = folder / 'certificate.pem'
    certificate.write_bytes(b''.join(b.bytes() for b in issued.cert_chain_pems))
    key = folder / 'key.pem'
    key.write_bytes(issued.private_key_pem.bytes())
    trusted = folder / 'authority.pem'
    trusted.write_bytes(authority.cert_pem.bytes())
    return TlsSettings('mutual', str(certificate), str(key), str(trusted))


def _failure_detail(settings):
    outcome = open_tls(settings)
    assert isinstance(outcome, Failure)
    return outcome.detail


def test_guard_loads_no_large_library():
    """Guards against imports that exceed the memory limit of a guard.

    A guard imports these packages; each listed library in their import
    closure would add to its resident memory.
    """
    script = (
        'import sys, borageward.access, borageward.settings, '
        'borageward.telemetry, borageward.configuration; '
        'print(set(sys.modules) & set(sys.argv[1:]))'
    )
    large_libraries = (
        'grpc',
        'cryptography',
        'lark',
        'httpx',
        'matplotlib',
        'quart',
    )
    finished = subprocess.run(  # noqa: S603
        [sys.executable, '-c', script, *large_libraries],
        capture_output=True,
        check=True,
    )
    assert finished.stdout == b'set()\n'


def test_plain_text_requires_mode_off():
    """Guards against plain text connections with TLS mode ``mutual``.

    A process whose TLS files cannot be read must fail rather than run without
    TLS; only mode ``off`` disables it.
    """
    assert open_tls(TlsSettings('off')) is None
    missing = TlsSettings('mutual', 'no.pem', 'no.pem', 'no.pem')
    assert 'No such file' in _failure_detail(missing)


def test_faulty_files_are_refused(authority, tmp_path):
    """Guards against a daemon that starts but fails every handshake.

    This happens with an expired certificate, one of another authority, or a
    private key that does not match, unless the files are checked on loading.
    """
    expired = _issue_files(authority, tmp_path, not_after=_YESTERDAY)
    assert 'expired' in _failure_detail(expired)
    untrusted = _write_files(
        tmp_path, trustme.CA().issue_cert('127.0.0.1'), authority
    )
    assert 'certificate' in _failure_detail(untrusted)
    settings = _issue_files(authority, tmp_path)
    other = authority.issue_cert('127.0.0.1')
    (tmp_path / 'key.pem').write_bytes(other.private_key_pem.bytes())
    assert 'mismatch' in _failure_detail(settings)


async def test_frames_need_a_certificate(authority, tmp_path, nursery):
    """Guards against a frame listener that accepts plain text clients.

    The server must refuse a client without TLS, and must read the identity of
    a client from its certificate.
    """
    files = open_tls(_issue_files(authority, tmp_path))
    identities = []

    async def serve(stream):
        await stream.do_handshake()
        identities.append(identity_of_stream(stream))
        connection = FrameConnection(stream, bytes)
        await connection.receive()

    listener = FrameListener(_LOOPBACK, serve, files.server)
    await listener.start(nursery)
    plain = FramePeer(listener.address, bytes, nursery)
    refused = await plain.call(b'', 5000)
    assert refused.reason is FailureReason.LINK_BROKEN
    assert not identities
    peer = FramePeer(listener.address, bytes, nursery, files.client)
    await peer.call(b'', 5000)
    assert identities == [
        Identity('ana', _EDITOR.roles, frozenset(('dispatch',)))
    ]
    await listener.close()


async def test_grpc_with_credentials(authority, tmp_path):
    """Guards against gRPC credentials that are unusable or not enforced.

    A client with a certificate must get a reply and a client without TLS a
    failure.
    """
    files = open_tls(_issue_files(authority, tmp_path))

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
    """Guards against a faulty certificate renewal that breaks a process.

    A reload of an expired certificate must fail and leave the files in use;
    a reload of a valid one must replace them.
    """
    settings = _issue_files(authority, tmp_path)
    files = open_tls(settings)
    assert files.reload() is False
    loaded = files.pem
    _issue_files(authority, tmp_path, not_after=_YESTERDAY)
    assert isinstance(files.reload(), Failure)
    assert files.pem == loaded
    _issue_files(authority, tmp_path)
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
    """Guards against an identity for a certificate that grants no role.

    The subject is empty, has no organizational unit, or has an unknown one.
    """
    outcome = identity_of_certificate({'subject': subject})
    assert outcome.reason is FailureReason.UNAUTHENTICATED


def _quota_change(author):
    return control.ApplyChange(b'1', 0, SetQuota('dispatch', 4), author, '')


def test_roles_limit_requests():
    """Guards against requests that the role of an identity does not allow.

    An editor must not approve changes, change the voters, claim jobs, or
    submit a change under another name.
    """
    assert authorize(_EDITOR, _quota_change('ana')) is None
    assert authorize(_EDITOR, control.ReadHistory(5)) is None
    for request in (
        _quota_change('ben'),
        control.Approve(b'1', b'', 0, 'ana'),
        control.RemoveVoter('control-1'),
        control.Claim(1, ()),
    ):
        outcome = authorize(_EDITOR, request)
        assert outcome.reason is FailureReason.FORBIDDEN


def test_every_control_request_has_a_rule():
    """Guards against a control request that every role is refused.

    A new request type is forbidden until it is listed in the access rules.
    """
    all_roles = Identity('ana', frozenset(Role))
    for request_type in control.ControlRequest.__args__:
        fields = dict.fromkeys(request_type.__struct_fields__, 'ana')
        assert authorize(all_roles, request_type(**fields)) is None, (
            request_type
        )


def test_caller_is_bound_to_its_service():
    """Guards against a caller that submits jobs of another service.

    The service must be in the caller's certificate, and an identity without
    the role ``caller`` must not submit at all.
    """
    caller = Identity('c', frozenset((Role.CALLER,)), frozenset(('dispatch',)))
    assert authorize_caller(caller, 'dispatch') is None
    for identity, service in ((caller, 'forecast'), (_EDITOR, 'dispatch')):
        outcome = authorize_caller(identity, service)
        assert outcome.reason is FailureReason.FORBIDDEN
