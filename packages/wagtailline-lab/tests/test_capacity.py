"""Tests that docs/CAPACITY.md agrees with the measured tables."""

import pytest

from wagtailline_lab._tables import Point, fit_line
from wagtailline_lab.capacity import TEMPLATE, compute_figures, render_page

_PAGE = TEMPLATE.parent / 'CAPACITY.md'


def test_page_agrees_with_the_tables():
    """A page edited by hand states figures that were never measured."""
    assert _PAGE.read_text() == render_page(compute_figures())


def test_slope_is_recovered():
    """A wrong fit makes every extrapolated figure of the page wrong."""
    line = fit_line([Point(size, 3 + 2 * size) for size in (1, 4, 9)])
    assert line.value_at(100) == pytest.approx(203)
