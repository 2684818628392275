"""Tests of moving averages by key."""

import pytest

from wagtailline_sidecar.moving_averages import MovingAverages


def test_first_value_is_the_average():
    """Guards against averages that start near zero and rise slowly."""
    averages = MovingAverages(0.1)
    averages.observe('a', 10)
    assert averages.find('a', 0) == 10


def test_new_value_counts_with_its_weight():
    """Guards against an average that one outlier replaces."""
    averages = MovingAverages(0.25)
    averages.observe('a', 10)
    averages.observe('a', 18)
    assert averages.find('a', 0) == pytest.approx(12)


def test_default_stands_in_for_missing_values():
    """Guards against a key error, or a zero estimate, before any value."""
    averages = MovingAverages(0.1)
    assert averages.find('a', 3) == 3
    assert averages.mean(4) == 4
    averages.observe('a', 1)
    averages.observe('b', 5)
    assert averages.mean(4) == 3
