"""Tests that docs/reference.md agrees with the code."""

from pathlib import Path

from wagtailline_lab.reference import render_reference

_PAGE = Path(__file__).parents[3] / 'docs' / 'reference.md'


def test_reference_is_current():
    """An outdated page documents settings that the daemon rejects."""
    assert _PAGE.read_text().strip() == render_reference().strip()
