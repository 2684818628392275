"""Guards docs/CAPACITY.md against drifting from the measured tables."""

import pytest

from wagtailline_lab._tables import Point, fit_slope
from wagtailline_lab.capacity import TEMPLATE, compute, render

_PAGE = TEMPLATE.parent / 'CAPACITY.md'


def test_page_agrees_with_the_tables():
    """A page that was edited by hand promises what nobody measured."""
    assert _PAGE.read_text() == render(compute())


def test_slope_is_recovered():
    """A wrong fit would extrapolate every figure of the page wrongly."""
    slope = fit_slope([Point(size, 3 + 2 * size) for size in (1, 4, 9)])
    assert slope.at(100) == pytest.approx(203)
