"""Guards the rule by which former and new owners of keys exclude each other."""

import itertools

import pytest

from wagtailline.distribution import DataCentreReport, FleetReport
from wagtailline.executions import Instant, Ownership
from wagtailline_daemon.gate import judge_report


def _report(*versions):
    centres = tuple(
        DataCentreReport(f'dc{index}', '', version, version, 1, (), 0, ())
        for index, version in enumerate(versions)
        if version is not None
    )
    return FleetReport(
        max(versions, key=lambda one: one or 0), 0, 0, (), centres, ()
    )


@pytest.mark.parametrize(
    ('versions', 'is_newest', 'is_held'),
    [
        ((2, 2, 2), True, True),
        ((2, 2, None), True, True),
        ((2, None, None), False, False),
        ((2, 1, 1), True, False),
        ((2, 3, 2), False, True),
        ((2, 1, None), True, False),
    ],
)
def test_majority_of_data_centres_decides(versions, is_newest, is_held):
    """A stale source confirms a version that others have left behind."""
    judgement = judge_report(_report(*versions), 2, 3)
    assert judgement == (is_newest, is_held)


@pytest.mark.parametrize('count', [1, 2, 3, 4, 5])
def test_former_owner_never_confirms_after_the_new_one_began(count):
    """Whichever data centres answer, both can't be right at once."""
    for seen in itertools.product((1, 2), repeat=count):
        for by_new in _answers(seen):
            if not judge_report(_report(*by_new), 2, count).is_held:
                continue
            for by_old in _answers(seen):
                judgement = judge_report(_report(*by_old), 1, count)
                assert not judgement.is_newest


def _answers(seen):
    for cut in itertools.product((False, True), repeat=len(seen)):
        yield [
            None if lost else version
            for lost, version in zip(cut, seen, strict=True)
        ]


def test_announced_set_loses_at_once_and_gains_later():
    """A gate that gains keys at once runs what its predecessor still runs."""
    ownership = Ownership('a')
    ownership.update(('a', 'b'), Instant(1, 1))
    keys = [f'key {number}' for number in range(64)]
    kept = [key for key in keys if ownership.owned_since(key)]
    ownership.announce(('a',))
    assert ownership.is_pending
    for key in keys:
        expected = 1 if key in kept else float('inf')
        assert ownership.owned_since(key).monotonic == expected
    ownership.settle(Instant(9, 9))
    assert not ownership.is_pending
    assert {ownership.owned_since(key).monotonic for key in keys} == {1, 9}
    ownership.announce(('b',))
    assert not any(ownership.owned_since(key) for key in keys)
