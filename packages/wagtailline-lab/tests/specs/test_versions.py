"""Checks the version protocol; guards against installs that go back."""

import pytest

from wagtailline_lab.specs._checker import check
from wagtailline_lab.specs.versions import VersionRules, VersionSpec

_BOUND = 400_000


def test_no_process_returns_to_an_older_version():
    verdict = check(VersionSpec(VersionRules()), _BOUND)
    print(f'version protocol: {verdict.states} states')
    assert verdict.violated == '', verdict.trace
    assert verdict.exhaustive


@pytest.mark.parametrize(
    ('guard', 'violated'),
    [
        ('check_at_install', 'no return to an older version'),
        ('take_newest', 'a joined process holds what it heard of'),
        ('acknowledge_digest', 'in force everywhere is true'),
    ],
)
def test_a_removed_guard_is_found(guard, violated):
    rules = VersionRules()._replace(**{guard: False})
    verdict = check(VersionSpec(rules), _BOUND)
    print(f'{guard} off: {" -> ".join(verdict.trace)}')
    assert verdict.violated == violated
