"""Generates docs/CAPACITY.md from the raw tables of the benchmarks.

``python -m wagtailline_lab.capacity`` prints the page; CI compares it with
the page in the repository.
"""

import re
from collections.abc import Callable
from pathlib import Path

from wagtailline_lab._tables import (
    Line,
    Point,
    fit_line,
    read_column,
    read_rows,
)

MEASUREMENTS = Path(__file__).parents[4] / 'docs' / 'measurements'
TEMPLATE = MEASUREMENTS.parent / 'capacity-template.md'

ENDPOINTS = 8200
DATA_CENTRES = 11
MEMBERS_PER_DATA_CENTRE = 745
CHANGES_PER_SECOND = 15_000 / 86_400
CALLS_PER_SECOND = 256
MAX_MEMORY_MIB = 64e6 / 1024**2
MAX_CORE_PERCENT = 2.2
READERS = 2 * DATA_CENTRES
# Each source reader makes two source calls per watch of 6 s.
SOURCE_CALLS_PER_READER = 2 / 6

_FOOTPRINT_ROW = re.compile(r'^\d+\.\d\d \d')
_MEMBERSHIP_ROW = re.compile(r'^ +\d+ +\d+\.\d')
_TREE_ROW = re.compile(r'^tree +\d+ ')
_IDLE_CPU_ROW = re.compile('^at rest, % of a core')
_ALLOWANCE_ROW = re.compile(r'^\d+ in \d +even +homes ')


Figures = dict[str, str]
"""Formatted figures of the page by their names in the template."""


def compute_figures(measurements: Path = MEASUREMENTS) -> Figures:
    """Return the figures, extrapolated from the tables to the target size."""
    figures: dict[str, float] = {}
    figures.update(_compute_footprint(measurements / 'footprint.txt'))
    figures.update(_compute_idle_cpu(measurements / 'path.txt'))
    figures.update(_compute_membership(measurements / 'membership.txt'))
    figures.update(_compute_distribution(measurements / 'distribution.txt'))
    figures.update(_compute_allowance(measurements / 'allowance.txt'))
    figures['control_bytes'] = (
        figures['membership_bytes']
        + figures['distribution_bytes']
        + figures['allowance_bytes']
    )
    figures['core_percent'] = (
        figures['rest_percent'] + figures['change_percent']
    )
    figures['source_calls'] = READERS * SOURCE_CALLS_PER_READER
    return {name: f'{figure:.4g}' for name, figure in figures.items()}


def render_page(figures: Figures) -> str:
    """Return the page, which is the template with the figures filled in."""
    return TEMPLATE.read_text().format(**figures)


def _compute_footprint(path: Path) -> dict[str, float]:
    def column(index: int) -> list[Point]:
        return read_column(path, _make_row_filter(_FOOTPRINT_ROW), index)

    memory = fit_line(column(2))
    idle_percent = fit_line(column(3)).value_at(ENDPOINTS)
    change_milliseconds = fit_line(column(4)).value_at(ENDPOINTS)
    change_percent = change_milliseconds * CHANGES_PER_SECOND / 10
    return {
        'memory_base': memory.intercept,
        'memory_per_thousand': memory.slope * 1000,
        'memory_target': memory.value_at(ENDPOINTS),
        'memory_breaks_at': _size_at(memory, MAX_MEMORY_MIB),
        'lonely_rest_percent': idle_percent,
        'change_ms': change_milliseconds,
        'change_percent': change_percent,
    }


def _compute_idle_cpu(path: Path) -> dict[str, float]:
    rows = read_rows(path, _make_row_filter(_IDLE_CPU_ROW))
    return {'rest_percent': max(row[0] for row in rows)}


def _compute_membership(path: Path) -> dict[str, float]:
    def column(index: int) -> list[Point]:
        return read_column(path, _make_row_filter(_MEMBERSHIP_ROW), index)

    return {
        'membership_bytes': fit_line(column(7)).value_at(
            MEMBERS_PER_DATA_CENTRE
        ),
        'membership_cpu_percent': fit_line(column(9)).value_at(
            MEMBERS_PER_DATA_CENTRE
        )
        / 10_000,
        'membership_worst_bytes': fit_line(column(12)).value_at(
            MEMBERS_PER_DATA_CENTRE
        ),
        'membership_death_seconds': fit_line(column(2)).value_at(
            MEMBERS_PER_DATA_CENTRE
        ),
        'membership_table_mib': fit_line(column(15)).value_at(ENDPOINTS) / 1024,
    }


def _compute_distribution(path: Path) -> dict[str, float]:
    rows = {row[0]: row for row in read_rows(path, _make_row_filter(_TREE_ROW))}
    largest = rows[max(rows)]
    cpu = fit_line([Point(size, row[14]) for size, row in rows.items()])
    return {
        'distribution_size': largest[0],
        'distribution_bytes': largest[12],
        'distribution_cpu_percent': cpu.value_at(MEMBERS_PER_DATA_CENTRE)
        / 10_000,
        'distribution_last_seconds': largest[2],
        'distribution_burst_seconds': largest[4],
        'distribution_return_seconds': largest[6],
    }


def _compute_allowance(path: Path) -> dict[str, float]:
    rows = list(read_rows(path, _make_row_filter(_ALLOWANCE_ROW)))
    return {
        'allowance_bytes': max(row[-1] for row in rows),
        'allowance_messages': max(row[-2] for row in rows),
    }


def _make_row_filter(pattern: re.Pattern[str]) -> Callable[[str], bool]:
    def matches_pattern(line: str) -> bool:
        return pattern.match(line) is not None

    return matches_pattern


def _size_at(line: Line, bound: float) -> float:
    return (bound - line.intercept) / line.slope


if __name__ == '__main__':
    print(render_page(compute_figures()), end='')
