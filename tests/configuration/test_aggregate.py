"""Rules of configuration changes."""

from __future__ import annotations

from borageward.configuration import (
    decode_configuration,
    encode_configuration,
    initial_configuration,
)
from borageward.failures import Failure, FailureReason
from borageward.messages import configuration as changes


def test_batch_is_all_or_nothing():
    """Guards against half of a batch taking effect."""
    first = changes.SetService('dispatch', 40, 1.0, 5000)
    second = changes.SetLimit('no_such_limit', 1)
    outcome = initial_configuration().apply(changes.Batch((first, second)))
    assert isinstance(outcome, Failure)
    assert outcome.reason is FailureReason.INVALID_CHANGE


def test_round_trip_keeps_configuration():
    """Guards against a field that is lost in the durable form."""
    configuration = initial_configuration().apply(
        changes.Batch(
            (
                changes.SetService('dispatch', 40, 1.0, 5000),
                changes.SetPolicy('dispatch', 'reorder', ('nadi-depot',), ()),
                changes.SetLimit('guard_queue_tasks', 10),
            )
        ),
    )
    document = encode_configuration(configuration)
    assert decode_configuration(document) == configuration
