"""Tests that a former and a new owner of keys exclude each other."""

import itertools

import pytest

from wagtailline.distribution import DataCentreReport, FleetReport
from wagtailline.executions import Instant, Ownership
from wagtailline_daemon.gate import evaluate_report


def _report(*versions):
    reports = tuple(
        DataCentreReport(f'dc{index}', '', version, version, 1, (), 0, ())
        for index, version in enumerate(versions)
        if version is not None
    )
    return FleetReport(
        max(versions, key=lambda version: version or 0), 0, 0, (), reports, ()
    )


@pytest.mark.parametrize(
    ('versions', 'is_newest', 'is_held_by_majority'),
    [
        ((2, 2, 2), True, True),
        ((2, 2, None), True, True),
        ((2, None, None), False, False),
        ((2, 1, 1), True, False),
        ((2, 3, 2), False, True),
        ((2, 1, None), True, False),
    ],
)
def test_majority_of_data_centres_decides(
    versions, is_newest, is_held_by_majority
):
    """A stale source could confirm a version that others have replaced."""
    evaluation = evaluate_report(_report(*versions), 2, 3)
    assert evaluation == (is_newest, is_held_by_majority)


@pytest.mark.parametrize('count', [1, 2, 3, 4, 5])
def test_former_owner_never_confirms_after_the_new_one_began(count):
    """A former and a new owner could both run a request with the same key.

    They must exclude each other whichever data centres answer each of them.
    """
    for held_versions in itertools.product((1, 2), repeat=count):
        for seen_by_new_owner in _possible_answers(held_versions):
            if not evaluate_report(
                _report(*seen_by_new_owner), 2, count
            ).is_held_by_majority:
                continue
            for seen_by_former_owner in _possible_answers(held_versions):
                evaluation = evaluate_report(
                    _report(*seen_by_former_owner), 1, count
                )
                assert not evaluation.is_newest


def _possible_answers(held_versions):
    for unreachable in itertools.product(
        (False, True), repeat=len(held_versions)
    ):
        yield [
            None if is_unreachable else version
            for is_unreachable, version in zip(
                unreachable, held_versions, strict=True
            )
        ]


def test_announced_set_loses_keys_at_once_and_gains_keys_later():
    """A gate that gains keys at once runs what its predecessor still runs."""
    ownership = Ownership('a')
    ownership.replace_positions(('a', 'b'), Instant(1, 1))
    keys = [f'key {number}' for number in range(64)]
    kept = [key for key in keys if ownership.owned_since(key)]
    ownership.add_pending(('a',))
    assert ownership.is_pending
    for key in keys:
        expected = 1 if key in kept else float('inf')
        assert ownership.owned_since(key).monotonic == expected
    ownership.confirm_pending(Instant(9, 9))
    assert not ownership.is_pending
    assert {ownership.owned_since(key).monotonic for key in keys} == {1, 9}
    ownership.add_pending(('b',))
    assert not any(ownership.owned_since(key) for key in keys)
