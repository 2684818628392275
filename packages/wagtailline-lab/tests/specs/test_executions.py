"""Checks the at-most-once rule; guards against a payment that runs twice."""

import pytest

from wagtailline_lab.specs._checker import check
from wagtailline_lab.specs.executions import (
    ClaimSpec,
    ExecutionRules,
    ExecutionSpec,
)

_BOUND = 600_000


@pytest.mark.parametrize('timed', [True, False])
def test_a_key_runs_at_most_once(timed):
    verdict = check(ExecutionSpec(ExecutionRules(), timed=timed), _BOUND)
    print(f'at-most-once, timed {timed}: {verdict.states} states')
    assert verdict.violated == '', verdict.trace
    assert verdict.exhaustive


@pytest.mark.parametrize('guard', ExecutionRules._fields)
def test_a_removed_guard_is_found(guard):
    rules = ExecutionRules()._replace(**{guard: False})
    verdict = check(ExecutionSpec(rules), _BOUND)
    print(f'{guard} off: {" -> ".join(verdict.trace)}')
    assert verdict.violated


def test_a_refused_resend_says_nothing_about_earlier_calls():
    """'Not run' covers one call; an earlier one with the key may have run."""
    verdict = check(ClaimSpec(ExecutionRules()), _BOUND)
    print(f'read for the key: {" -> ".join(verdict.trace)}')
    assert verdict.violated == 'not run is true for the key'
