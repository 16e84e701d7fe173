"""Settings of a process on the platform."""

from __future__ import annotations

import types

import msgspec
import pytest

from borageward.failures import Failure
from borageward_platform.settings import read_process_settings

DOCUMENT = types.MappingProxyType(
    {
        'name': 'front-1',
        'availability_zone': 'a',
        'host': '127.0.0.1',
        'link_ports': [7000, 7010],
        'seeds': ['127.0.0.1:8000'],
        'first_start': True,
        'losses': 1,
        'grace_s': 6,
    }
)


@pytest.fixture
def read(tmp_path, monkeypatch):
    """Return a function that reads settings with some values changed."""

    def read_changed(**changes):
        path = tmp_path / 'settings.json'
        path.write_bytes(msgspec.json.encode({**DOCUMENT, **changes}))
        monkeypatch.setenv('BORAGEWARD_CONFIG', str(path))
        return read_process_settings()

    return read_changed


def test_links_have_defaults(read):
    """Guards against settings that a rendered file has to name."""
    settings = read()
    assert (settings.guard_links, settings.most_guard_links) == (24, 48)


def test_repetition_that_runs_cannot_outpace_is_refused(read):
    """Guards against limits that end runs after their repetition has begun."""
    settings = read(repeat_ms=500)
    assert isinstance(settings, Failure)
    assert 'repeat_ms' in settings.detail


@pytest.mark.parametrize('name', ['guard_links', 'most_guard_links'])
def test_entry_without_links_is_refused(read, name):
    """Guards against an entry that silently serves nobody."""
    settings = read(**{name: 0})
    assert isinstance(settings, Failure)
    assert name in settings.detail
