"""Reads the raw tables of docs/measurements and fits slopes to them."""

import re
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

_NUMBER = re.compile(r'-?\d+(?:\.\d+)?')


class Point(NamedTuple):
    """A measured value at a size."""

    size: float
    value: float


class Slope(NamedTuple):
    """Straight line fitted to points."""

    base: float
    per_unit: float

    def at(self, size: float) -> float:
        """Return the value on the line at a size."""
        return self.base + self.per_unit * size


def fit_slope(points: list[Point]) -> Slope:
    """Return the line with the least squares of differences."""
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean_value = sum(point.value for point in points) / count
    spread = sum((point.size - mean_size) ** 2 for point in points)
    covered = sum(
        (point.size - mean_size) * (point.value - mean_value)
        for point in points
    )
    per_unit = covered / spread if spread else 0
    return Slope(mean_value - per_unit * mean_size, per_unit)


def read_rows(
    path: Path, is_row: Callable[[str], bool]
) -> Iterator[list[float]]:
    """Yield the numbers of each line that is a row."""
    for line in path.read_text().splitlines():
        if is_row(line):
            yield [float(number) for number in _NUMBER.findall(line)]


def read_column(
    path: Path, is_row: Callable[[str], bool], column: int
) -> list[Point]:
    """Return a column over the size, which is the first number of a row.

    Of several rows of one size the last one counts.
    """
    found = {
        row[0]: Point(row[0], row[column]) for row in read_rows(path, is_row)
    }
    return list(found.values())
