"""Checks the model of at-most-once execution by idempotency key.

The tests guard against a call that runs twice, such as a payment, after a
retry, a restart of a gate or a change of the gate that owns the key.
"""

import pytest

from wagtailline_lab.specs._checker import check
from wagtailline_lab.specs.executions import (
    ExecutionRules,
    ExecutionSpec,
    KeyClaimSpec,
)

_MAX_STATES = 600_000


@pytest.mark.parametrize('timed', [True, False])
def test_a_key_runs_at_most_once(timed):
    verdict = check(ExecutionSpec(ExecutionRules(), timed=timed), _MAX_STATES)
    print(f'at-most-once, timed {timed}: {verdict.states} states')
    assert verdict.violated == '', verdict.trace
    assert verdict.exhaustive


@pytest.mark.parametrize('rule', ExecutionRules._fields)
def test_violation_is_found_without_a_rule(rule):
    """Guards against a model that misses the fault that a rule prevents."""
    rules = ExecutionRules()._replace(**{rule: False})
    verdict = check(ExecutionSpec(rules), _MAX_STATES)
    print(f'{rule} off: {" -> ".join(verdict.trace)}')
    assert verdict.violated


def test_a_refused_resend_says_nothing_about_earlier_calls():
    """Guards against reading 'not run' as a statement about the key.

    It is true for one call; an earlier call with the key may have run.
    """
    verdict = check(KeyClaimSpec(ExecutionRules()), _MAX_STATES)
    print(f'read for the key: {" -> ".join(verdict.trace)}')
    assert verdict.violated == 'not run is true for the key'
