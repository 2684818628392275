"""Order of what is read from the source."""

from typing import NamedTuple

from wagtailline_sidecar.field_types import Count


class SourceRevision(NamedTuple):
    """Revision of the source, ordered by its era and then by its number.

    The source numbers its changes. When it is restored from a copy, it gives
    out the numbers of lost changes again, and a new era begins. A source that
    names no era is in era 0.
    """

    era: Count = 0
    number: Count = 0

    def __str__(self) -> str:
        """Return the text for log lines."""
        return f'{self.era}.{self.number}'


NO_REVISION = SourceRevision()


class ConfigurationVersion(NamedTuple):
    """Version of a configuration, and the era in which it was read.

    The order is that of the versions: after a restore, the source may hold an
    earlier version until the operator has published again. A version that is
    read again in a later era replaces the one before, whatever its content.
    One that is known to have been published in a later era goes before all
    others, whatever this order says.
    """

    number: Count = 0
    era: Count = 0


NO_VERSION = ConfigurationVersion()
