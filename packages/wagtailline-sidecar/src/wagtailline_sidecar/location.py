"""Place of this daemon."""

from typing import NamedTuple


class Location(NamedTuple):
    """Host and data centre of this daemon, and the rate of its link."""

    host: str
    data_centre: str
    link_megabits_per_second: float = 0
