"""Works out docs/CAPACITY.md from the raw tables of the benchmarks.

``python -m wagtailline_lab.capacity`` prints the page; CI compares it with
the one in the repository.
"""

import re
from collections.abc import Callable
from pathlib import Path

from wagtailline_lab._tables import (
    Point,
    Slope,
    fit_slope,
    read_column,
    read_rows,
)

MEASUREMENTS = Path(__file__).parents[4] / 'docs' / 'measurements'
TEMPLATE = MEASUREMENTS.parent / 'capacity-template.md'

ENDPOINTS = 8200
DATA_CENTRES = 11
MEMBERS = 745
CHANGES_PER_SECOND = 15_000 / 86_400
CALLS_PER_SECOND = 256
MAX_MEMORY_MIB = 64e6 / 1024**2
MAX_CORE_PERCENT = 2.2
READERS = 2 * DATA_CENTRES
# A reader makes two source calls in each watch of 6 s.
SOURCE_CALLS_PER_READER = 2 / 6

_FOOTPRINT_ROW = re.compile(r'^\d+\.\d\d \d')
_MEMBERSHIP_ROW = re.compile(r'^ +\d+ +\d+\.\d')
_TREE_ROW = re.compile(r'^tree +\d+ ')
_REST_ROW = re.compile('^at rest, % of a core')
_ALLOWANCE_ROW = re.compile(r'^\d+ in \d +even +homes ')


Figures = dict[str, str]
"""Figures of the page by name, ready to print."""


def compute(measurements: Path = MEASUREMENTS) -> Figures:
    """Read every table and extrapolate to the target."""
    figures: dict[str, float] = {}
    figures.update(_footprint(measurements / 'footprint.txt'))
    figures.update(_path(measurements / 'path.txt'))
    figures.update(_membership(measurements / 'membership.txt'))
    figures.update(_distribution(measurements / 'distribution.txt'))
    figures.update(_allowance(measurements / 'allowance.txt'))
    figures['control_bytes'] = (
        figures['membership_bytes']
        + figures['distribution_bytes']
        + figures['allowance_bytes']
    )
    figures['core_percent'] = (
        figures['rest_percent'] + figures['change_percent']
    )
    figures['source_calls'] = READERS * SOURCE_CALLS_PER_READER
    return {name: f'{one:.4g}' for name, one in figures.items()}


def render(figures: Figures) -> str:
    """Return the page: the template with the figures filled in."""
    return TEMPLATE.read_text().format(**figures)


def _footprint(path: Path) -> dict[str, float]:
    def column(index: int) -> list[Point]:
        return read_column(path, _matches(_FOOTPRINT_ROW), index)

    memory = fit_slope(column(2))
    resting = fit_slope(column(3)).at(ENDPOINTS)
    change = fit_slope(column(4)).at(ENDPOINTS)
    changing = change * CHANGES_PER_SECOND / 10
    return {
        'memory_base': memory.base,
        'memory_per_thousand': memory.per_unit * 1000,
        'memory_target': memory.at(ENDPOINTS),
        'memory_breaks_at': _crossing(memory, MAX_MEMORY_MIB),
        'lonely_rest_percent': resting,
        'change_ms': change,
        'change_percent': changing,
    }


def _path(path: Path) -> dict[str, float]:
    rows = read_rows(path, _matches(_REST_ROW))
    return {'rest_percent': max(row[0] for row in rows)}


def _membership(path: Path) -> dict[str, float]:
    def column(index: int) -> list[Point]:
        return read_column(path, _matches(_MEMBERSHIP_ROW), index)

    return {
        'membership_bytes': fit_slope(column(7)).at(MEMBERS),
        'membership_cpu_percent': fit_slope(column(9)).at(MEMBERS) / 10_000,
        'membership_worst_bytes': fit_slope(column(12)).at(MEMBERS),
        'membership_death_seconds': fit_slope(column(2)).at(MEMBERS),
        'membership_table_mib': fit_slope(column(15)).at(ENDPOINTS) / 1024,
    }


def _distribution(path: Path) -> dict[str, float]:
    rows = {row[0]: row for row in read_rows(path, _matches(_TREE_ROW))}
    largest = rows[max(rows)]
    cpu = fit_slope([Point(size, row[14]) for size, row in rows.items()])
    return {
        'distribution_size': largest[0],
        'distribution_bytes': largest[12],
        'distribution_cpu_percent': cpu.at(MEMBERS) / 10_000,
        'distribution_last_seconds': largest[2],
        'distribution_burst_seconds': largest[4],
        'distribution_return_seconds': largest[6],
    }


def _allowance(path: Path) -> dict[str, float]:
    rows = list(read_rows(path, _matches(_ALLOWANCE_ROW)))
    return {
        'allowance_bytes': max(row[-1] for row in rows),
        'allowance_messages': max(row[-2] for row in rows),
    }


def _matches(pattern: re.Pattern[str]) -> Callable[[str], bool]:
    def is_row(line: str) -> bool:
        return pattern.match(line) is not None

    return is_row


def _crossing(slope: Slope, bound: float) -> float:
    return (bound - slope.base) / slope.per_unit


if __name__ == '__main__':
    print(render(compute()), end='')
