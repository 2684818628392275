"""Tests of what the headers of a response say of the upstream."""

import pytest

from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.upstream_notices import (
    RateLimitAbsent,
    RateLimitNamed,
    RateLimitUnreadable,
    parse_rate_limit,
    read_notice,
)

NAMES = HeaderNames()


@pytest.mark.parametrize('field', [b'0', b'0.1', b'10.7', b' 1000 ', b'1e3'])
def test_decimal_limits_are_read(field):
    """Guards against a limit that is named but not known (LIMIT)."""
    assert parse_rate_limit(field) == RateLimitNamed(float(field))


@pytest.mark.parametrize(
    'field',
    [b'', b'-1', b'nan', b'inf', b'-inf', b'ten', b'1,5', b'\xff', b'1;2'],
)
def test_malformed_limits_are_neither_a_limit_nor_its_end(field):
    """Guards against a limit that ends, or is any, for malformed bytes."""
    assert isinstance(parse_rate_limit(field), RateLimitUnreadable)


def test_missing_field_names_no_limit():
    """Guards against a limit that outlasts what the upstream says."""
    assert parse_rate_limit(None) == RateLimitAbsent()


@pytest.mark.parametrize(
    ('field', 'is_leaving'),
    [(b'1', True), (b'0', False), (b'', False), (b'yes', False)],
)
def test_only_one_value_says_that_an_upstream_leaves(field, is_leaving):
    """Guards against an upstream that is given up for a malformed header."""
    notice = read_notice(((NAMES.leaving, field),), NAMES, 'e1')
    assert notice.is_leaving is is_leaving
    assert notice.instance == 'e1'
