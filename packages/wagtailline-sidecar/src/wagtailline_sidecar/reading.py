"""State of the source at one revision, as it was read."""

from typing import NamedTuple

from wagtailline_sidecar.model import Configuration, Endpoint
from wagtailline_sidecar.source_revision import NO_REVISION, SourceRevision


class Reading(NamedTuple):
    """Consistent state of the source at one revision.

    ``configuration`` is None when the source holds no valid configuration. The
    endpoints may be those of a later revision, ``endpoints_revision``. A peer's
    reading with ``is_after_outage`` may list endpoints whose entries expired.
    The configuration was published at ``configuration_revision``. ``era_start``
    is the first revision that is known of the era; what was published at a
    later one comes from no older copy.
    """

    revision: SourceRevision
    configuration: Configuration | None
    endpoints: tuple[Endpoint, ...]
    closed_data_centres: frozenset[str]
    endpoints_revision: SourceRevision = NO_REVISION
    is_after_outage: bool = False
    configuration_revision: SourceRevision = NO_REVISION
    era_start: SourceRevision = NO_REVISION


class EarlyEndpoints(NamedTuple):
    """Endpoints that were read while a reading of the source goes on."""

    revision: SourceRevision
    endpoints: tuple[Endpoint, ...]
    requested_at: float
