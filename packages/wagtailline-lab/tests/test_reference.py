"""Guards docs/reference.md against drifting from the code."""

from pathlib import Path

from wagtailline_lab.reference import render_reference

_PAGE = Path(__file__).parents[3] / 'docs' / 'reference.md'


def test_reference_is_current():
    """A reference that lags names settings that the daemon refuses."""
    assert _PAGE.read_text().strip() == render_reference().strip()
