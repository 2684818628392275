"""Reads the raw tables of docs/measurements and fits lines to them."""

import re
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

_NUMBER = re.compile(r'-?\d+(?:\.\d+)?')


class Point(NamedTuple):
    """A measured value and the size at which it was measured."""

    size: float
    value: float


class Line(NamedTuple):
    """A straight line that is fitted to points."""

    intercept: float
    slope: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(points: list[Point]) -> Line:
    """Return the least-squares line through the points."""
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean_value = sum(point.value for point in points) / count
    variance_sum = sum((point.size - mean_size) ** 2 for point in points)
    covariance_sum = sum(
        (point.size - mean_size) * (point.value - mean_value)
        for point in points
    )
    slope = covariance_sum / variance_sum if variance_sum else 0
    return Line(mean_value - slope * mean_size, slope)


def read_rows(
    path: Path, is_row: Callable[[str], bool]
) -> Iterator[list[float]]:
    """Yield the numbers in each line for which ``is_row`` is true."""
    for line in path.read_text().splitlines():
        if is_row(line):
            yield [float(number) for number in _NUMBER.findall(line)]


def read_column(
    path: Path, is_row: Callable[[str], bool], column: int
) -> list[Point]:
    """Return a column as points whose size is the first number of a row.

    If several rows have the same size, the last one is used.
    """
    points_by_size = {
        row[0]: Point(row[0], row[column]) for row in read_rows(path, is_row)
    }
    return list(points_by_size.values())
