"""Checks the model of the version protocol.

The tests guard against a process that installs an older version, and against
a false report that a version is in force everywhere.
"""

import pytest

from wagtailline_lab.specs._checker import check
from wagtailline_lab.specs.versions import VersionRules, VersionSpec

_MAX_STATES = 400_000


def test_no_process_returns_to_an_older_version():
    verdict = check(VersionSpec(VersionRules()), _MAX_STATES)
    print(f'version protocol: {verdict.states} states')
    assert verdict.violated == '', verdict.trace
    assert verdict.exhaustive


@pytest.mark.parametrize(
    ('rule', 'violated'),
    [
        ('check_at_install', 'no return to an older version'),
        ('take_newest', 'a process joins with its newest answer'),
        ('acknowledge_digest', 'reports of convergence are true'),
    ],
)
def test_violation_is_found_without_a_rule(rule, violated):
    """Guards against a model that misses the fault that a rule prevents."""
    rules = VersionRules()._replace(**{rule: False})
    verdict = check(VersionSpec(rules), _MAX_STATES)
    print(f'{rule} off: {" -> ".join(verdict.trace)}')
    assert verdict.violated == violated
