"""Tests of the port allocation for local deployments."""

from __future__ import annotations

import itertools

from standins import ports


def test_port_is_handed_out_once(monkeypatch):
    """Guards against two processes of a deployment with the same address.

    Control replicas, entries and guards get their addresses in separate calls
    before any of them listens, so a port can still be free at a later call. An
    entry got the port of a control replica in this way and ended with "Address
    already in use".
    """
    drawn = itertools.cycle((31_001, 31_002, 31_003))
    monkeypatch.setattr(ports.random, 'choice', lambda _: next(drawn))
    first = ports.free_addresses(1)
    drawn = itertools.chain((31_001,), itertools.cycle((31_002, 31_003)))
    second = ports.free_addresses(1)
    assert first != second
