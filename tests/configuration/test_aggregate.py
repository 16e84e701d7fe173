"""Tests of the rules for configuration changes."""

from __future__ import annotations

from borageward.configuration import (
    decode_configuration,
    encode_configuration,
    initial_configuration,
)
from borageward.failures import Failure, FailureReason
from borageward.messages import configuration as changes


def test_batch_is_all_or_nothing():
    """Guards against a batch that takes effect in part.

    The second change of the batch is invalid, the first one is not.
    """
    first = changes.SetService('dispatch', 40, 1.0, 5000)
    second = changes.SetLimit('no_such_limit', 1)
    outcome = initial_configuration().apply(changes.Batch((first, second)))
    assert isinstance(outcome, Failure)
    assert outcome.reason is FailureReason.INVALID_CHANGE


def test_round_trip_keeps_configuration():
    """Guards against a field that is lost when a configuration is stored."""
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


def test_drained_worker_is_excluded_from_every_policy():
    """Guards against work that is placed on a drained worker.

    The drain has to apply with and without a policy for the kind, and no
    longer after it is undone.
    """
    configuration = initial_configuration().apply(
        changes.Batch(
            (
                changes.SetService('dispatch', 40, 1.0, 5000),
                changes.SetPolicy('dispatch', 'reorder', (), ('w-1', 'w-2')),
                changes.SetDrained('w-1', drained=True),
            )
        ),
    )
    for kind in ('reorder', 'check'):
        policy = configuration.policy_for('dispatch', kind)
        assert not policy.allows('w-1', 'kingston')
        assert policy.allows('w-2', 'kingston')
    restored = configuration.apply(changes.SetDrained('w-1', drained=False))
    assert restored.policy_for('dispatch', 'check') is None


def test_service_values_are_checked():
    """Guards against values that no process can apply.

    These are a negative quota or weight, a deadline of 0 ms and a change to a
    service that does not exist.
    """
    configuration = initial_configuration().apply(
        changes.SetService('dispatch', 40, 1.0, 5000),
    )
    for change in (
        changes.SetQuota('dispatch', -1),
        changes.SetWeight('dispatch', -0.5),
        changes.SetDeadline('dispatch', 0),
        changes.SetQuota('forecast', 1),
    ):
        outcome = configuration.apply(change)
        assert isinstance(outcome, Failure)
        assert outcome.reason is FailureReason.INVALID_CHANGE
