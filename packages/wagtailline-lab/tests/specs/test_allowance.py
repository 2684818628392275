"""Checks the allowance protocol; guards against tokens issued twice."""

import pytest

from wagtailline_lab.specs._checker import check
from wagtailline_lab.specs.allowance import AllowanceRules, AllowanceSpec

_BOUND = 600_000


def test_admitted_calls_stay_within_burst_and_rate():
    verdict = check(AllowanceSpec(AllowanceRules()), _BOUND)
    print(f'allowance protocol: {verdict.states} states')
    assert verdict.violated == '', verdict.trace
    assert verdict.exhaustive


@pytest.mark.parametrize('guard', AllowanceRules._fields)
def test_a_removed_guard_is_found(guard):
    rules = AllowanceRules()._replace(**{guard: False})
    verdict = check(AllowanceSpec(rules), _BOUND)
    print(f'{guard} off: {" -> ".join(verdict.trace)}')
    assert verdict.violated
