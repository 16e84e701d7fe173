"""Plan texts and digests, and the undo of revisions."""

from __future__ import annotations

import attrs
import msgspec
import pytest

from borageward.configuration import Limits, initial_configuration
from borageward.failures import Failure
from borageward.language import (
    make_plan,
    parse_sentence,
    plan_covers,
    plan_digest,
    plan_states_change,
    undo_change,
)
from borageward.language.limits import LIMIT_MEANINGS
from borageward.messages.control import ApplyChange, GuardMember

_PLACES = ('nadi-depot', 'lautoka-yard', 'sigatoka-shed', 'nadrau-pass')
_GUARDS = tuple(
    GuardMember(
        number,
        f'worker-0{number}',
        _PLACES[number % 4],
        'dispatch',
        '',
        '',
        8,
        ended_at=50 if number == 0 else 0,
    )
    for number in range(10)
)


def _apply_sentence(configuration, sentence):
    outcome = configuration.apply(parse_sentence(sentence))
    assert not isinstance(outcome, Failure), outcome
    return outcome


_BASE = _apply_sentence(
    initial_configuration(),
    'create service dispatch with quota 40 slots, weight 1, deadline 5 s',
)


@pytest.mark.parametrize(
    'sentence',
    [
        'set quota of dispatch to 80 slots',
        'allow reorder of dispatch in nadi-depot, lautoka-yard',
        'allow * of dispatch in suva-wharf',
        'drain worker worker-04 and set limit max_open_jobs to 100',
        'create service forecast with quota 8 slots, weight 0.5, deadline 1 s',
        'remove service dispatch and require approval',
        'set weight of dispatch to 1',
    ],
)
def test_plan_text(sentence, snapshot):
    """Guards against a plan that omits an effect of its change.

    The approver has to read which service loses capacity and which work will
    be refused.
    """
    plan = make_plan(_BASE, 3, parse_sentence(sentence), _GUARDS)
    assert plan.text == snapshot
    assert plan_states_change(plan.text, plan.change)


def test_digest_covers_text_and_revision():
    """Guards against an approval that is valid for another plan.

    Approvals are bound to a digest, which has to differ as soon as the text or
    the base revision differs.
    """
    digests = {
        plan_digest('- one\n', 3),
        plan_digest('- one\n', 4),
        plan_digest('- two\n', 3),
    }
    assert len(digests) == 3


def test_plan_does_not_state_another_change():
    """Guards against an approved text that is applied with another change.

    The sentences of the two changes differ by one digit only.
    """
    change = parse_sentence('set quota of dispatch to 4 slots')
    plan = make_plan(_BASE, 3, change, _GUARDS)
    other = parse_sentence('set quota of dispatch to 40 slots')
    assert not plan_states_change(plan.text, other)


def test_request_carries_the_plan_of_its_change():
    """Guards against an approval used for another change or revision.

    A request carries change, base revision, plan text and digest separately,
    so a client can combine those of different plans.
    """
    change = parse_sentence('set quota of dispatch to 4 slots')
    plan = make_plan(_BASE, 3, change, _GUARDS)
    other = parse_sentence('set quota of dispatch to 40 slots')
    valid = ApplyChange(b'1', 3, change, 'ana', '', plan.digest, plan.text)
    assert plan_covers(valid)
    for wrong in (
        {'change': other},
        {'base_revision': 4},
        {'plan_text': plan.text.replace('4 slots', '40 slots')},
    ):
        assert not plan_covers(msgspec.structs.replace(valid, **wrong))


def test_invalid_change_has_no_plan():
    """Guards against a plan for a change that control would refuse.

    The change sets the quota of a service that does not exist.
    """
    change = parse_sentence('set quota of forecast to 4 slots')
    assert isinstance(make_plan(_BASE, 3, change, _GUARDS), Failure)


def test_every_limit_has_a_meaning():
    """Guards against a new limit without a description for plans."""
    assert set(LIMIT_MEANINGS) == set(attrs.fields_dict(Limits))


@pytest.mark.parametrize(
    'sentence',
    [
        'set quota of dispatch to 8 slots and set weight of dispatch to 3',
        'allow reorder of dispatch in nadi-depot and drain worker worker-01',
        'remove service dispatch',
        'require approval and set limit guard_queue_tasks to 2',
    ],
)
def test_undo_restores_and_keeps_later_changes(sentence):
    """Guards against an undo that reverts an unrelated later change.

    An undo that restored the former configuration as a whole would do so.
    """
    after = _apply_sentence(_BASE, sentence)
    later = 'set limit max_open_jobs to 7'
    current = _apply_sentence(after, later)
    change = undo_change(_BASE, after, current)
    assert current.apply(change) == _apply_sentence(_BASE, later)


def test_undo_refuses_what_changed_again():
    """Guards against an undo that overwrites a later change without notice.

    The quota that the undone revision set has been set again since.
    """
    after = _apply_sentence(_BASE, 'set quota of dispatch to 8 slots')
    current = _apply_sentence(after, 'set quota of dispatch to 9 slots')
    outcome = undo_change(_BASE, after, current)
    assert isinstance(outcome, Failure)
    assert 'quota dispatch' in outcome.detail


def test_undo_keeps_other_values_of_the_service():
    """Guards against an undo that resets a value of another revision.

    Quota and weight belong to one service but are changed separately.
    """
    after = _apply_sentence(_BASE, 'set quota of dispatch to 8 slots')
    current = _apply_sentence(after, 'set weight of dispatch to 2')
    restored = current.apply(undo_change(_BASE, after, current))
    assert restored == _apply_sentence(_BASE, 'set weight of dispatch to 2')
