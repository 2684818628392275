"""Endpoints that the source lists, and those of them that may be used."""

from collections.abc import Mapping
from typing import NamedTuple

from wagtailline_sidecar._endpoint_lists import (
    add_expired,
    keep_latest,
    select_named,
)
from wagtailline_sidecar.model import Configuration, Endpoint, Service
from wagtailline_sidecar.restore_grace import RestoreGrace
from wagtailline_sidecar.source_outages import SourceOutages
from wagtailline_sidecar.source_revision import NO_REVISION, SourceRevision


class _Usable(NamedTuple):
    """Endpoints that follow from those listed and the services named."""

    listed: tuple[Endpoint, ...]
    services: Mapping[str, Service]
    endpoints: tuple[Endpoint, ...]


class ListedEndpoints:
    """List of all endpoints at a revision, also of services without a name.

    ``listed`` stays the same object until it changes.
    """

    def __init__(self, grace: RestoreGrace, outages: SourceOutages) -> None:
        """Start with no endpoint.

        After a restore, ``grace`` tells what the source lacks; after one of
        the ``outages``, endpoints whose entries have expired are kept.
        """
        self._grace = grace
        self._outages = outages
        self._usable = _Usable((), {}, ())
        self.listed: tuple[Endpoint, ...] = ()
        self.revision = NO_REVISION

    def replace(
        self,
        offered: tuple[Endpoint, ...],
        revision: SourceRevision,
        *,
        may_add: bool,
    ) -> None:
        """List the offered endpoints if they are not older.

        With ``may_add``, expired ones are added after an outage.
        """
        if revision < self.revision:
            return
        self.revision = revision
        if offered is self.listed:
            return
        offered = self._grace.select_endpoints(offered)
        if may_add and self._outages.is_recent:
            offered = add_expired(offered, self.listed)
        if offered != self.listed:
            self._grace.record_change(self.listed, offered)
            self.listed = offered

    def find_usable(self, configuration: Configuration) -> tuple[Endpoint, ...]:
        """Return the latest endpoint at each address, of named services."""
        services = configuration.services
        usable = self._usable
        if usable.listed is not self.listed or usable.services is not services:
            endpoints = keep_latest(select_named(self.listed, services))
            self._usable = _Usable(self.listed, services, endpoints)
        return self._usable.endpoints
