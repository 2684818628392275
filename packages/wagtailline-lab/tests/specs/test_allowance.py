"""Checks the model of the allowance protocol, a shared rate limit.

The tests guard against tokens that are spent twice or after their expiry, so
that more calls are admitted than the limit allows.
"""

import pytest

from wagtailline_lab.specs._checker import check
from wagtailline_lab.specs.allowance import AllowanceRules, AllowanceSpec

_MAX_STATES = 600_000


def test_admitted_calls_stay_within_burst_and_rate():
    verdict = check(AllowanceSpec(AllowanceRules()), _MAX_STATES)
    print(f'allowance protocol: {verdict.states} states')
    assert verdict.violated == '', verdict.trace
    assert verdict.exhaustive


@pytest.mark.parametrize('rule', AllowanceRules._fields)
def test_violation_is_found_without_a_rule(rule):
    """Guards against a model that misses the fault that a rule prevents."""
    rules = AllowanceRules()._replace(**{rule: False})
    verdict = check(AllowanceSpec(rules), _MAX_STATES)
    print(f'{rule} off: {" -> ".join(verdict.trace)}')
    assert verdict.violated
