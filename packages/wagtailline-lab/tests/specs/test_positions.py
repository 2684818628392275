"""Checks who may act at an endpoint; guards against two issuers of a bucket."""

import pytest

from wagtailline_lab.specs._checker import check
from wagtailline_lab.specs.positions import PositionRules, PositionSpec

_BOUND = 400_000


@pytest.mark.parametrize('restarts', [0, 1])
def test_only_one_occupant_acts(restarts):
    verdict = check(PositionSpec(PositionRules(), restarts), _BOUND)
    print(f'positions, {restarts} restarts: {verdict.states} states')
    assert verdict.violated == '', verdict.trace
    assert verdict.exhaustive


@pytest.mark.parametrize('guard', PositionRules._fields)
def test_a_removed_guard_is_found(guard):
    rules = PositionRules()._replace(**{guard: False})
    verdict = check(PositionSpec(rules), _BOUND)
    print(f'{guard} off: {" -> ".join(verdict.trace)}')
    assert verdict.violated
