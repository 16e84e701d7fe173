"""Validation of the addresses that guards announce."""

from __future__ import annotations

from borageward.failures import Failure
from borageward.messages.discovery import GuardAddress
from borageward.transport import parse_peer_address

# Bounds of the texts in an announcement. A view contains all guards and has to
# fit into one frame, so an announcement must be short.
MAX_NAME_LENGTH = 255
MAX_LABELS = 64


def find_guard_problem(guard: GuardAddress) -> str:
    """Return why no link to an announced guard is possible, or an empty text.

    The host name, zone, pool and labels must not exceed ``MAX_NAME_LENGTH``
    characters each, and there may be ``MAX_LABELS`` labels.
    """
    address = parse_peer_address(guard.link_address)
    if isinstance(address, Failure):
        return address.detail
    if not guard.host_name:
        return 'the host name of a guard is empty'
    if len(guard.labels) > MAX_LABELS:
        return f'a guard has more than {MAX_LABELS} labels'
    texts = (guard.host_name, guard.zone, guard.pool, *guard.labels)
    if max(map(len, texts)) > MAX_NAME_LENGTH:
        return f'a text of a guard has more than {MAX_NAME_LENGTH} characters'
    return ''
