"""Checks the model of endpoint ownership.

The tests guard against two owners of an endpoint that act at the same time,
so that two issuers generate the tokens of one bucket.
"""

import pytest

from wagtailline_lab.specs._checker import check
from wagtailline_lab.specs.positions import PositionRules, PositionSpec

_MAX_STATES = 400_000


@pytest.mark.parametrize('restarts', [0, 1])
def test_at_most_one_owner_acts(restarts):
    verdict = check(PositionSpec(PositionRules(), restarts), _MAX_STATES)
    print(f'positions, {restarts} restarts: {verdict.states} states')
    assert verdict.violated == '', verdict.trace
    assert verdict.exhaustive


@pytest.mark.parametrize('rule', PositionRules._fields)
def test_violation_is_found_without_a_rule(rule):
    """Guards against a model that misses the fault that a rule prevents."""
    rules = PositionRules()._replace(**{rule: False})
    verdict = check(PositionSpec(rules), _MAX_STATES)
    print(f'{rule} off: {" -> ".join(verdict.trace)}')
    assert verdict.violated
