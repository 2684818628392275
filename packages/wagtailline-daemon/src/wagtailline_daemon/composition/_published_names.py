"""Names that membership reads from the snapshot, cached per snapshot."""

from wagtailline.membership import PublishedEndpoints
from wagtailline.objects import DataCentre, Endpoint
from wagtailline.snapshot import Snapshot, SnapshotStore


class PublishedNames:
    """Names of the endpoints of one data centre and of all data centres."""

    def __init__(self, store: SnapshotStore, data_centre: str) -> None:
        """Read the names from the current snapshot of the store at each use."""
        self._store = store
        self._data_centre = data_centre
        self._snapshot: Snapshot | None = None
        self._endpoints: tuple[str, ...] = ()
        self._data_centres: tuple[str, ...] = ()

    def published(self) -> PublishedEndpoints:
        """Return the functions by which membership reads the names."""
        return PublishedEndpoints(self.endpoints, self.data_centres)

    def endpoints(self) -> tuple[str, ...]:
        """Return the names of the endpoints of the local data centre."""
        self._update_names()
        return self._endpoints

    def data_centres(self) -> tuple[str, ...]:
        """Return the names of all data centres."""
        self._update_names()
        return self._data_centres

    def _update_names(self) -> None:
        snapshot = self._store.current
        if snapshot is None or snapshot is self._snapshot:
            return
        self._snapshot = snapshot
        objects = snapshot.objects.values()
        self._endpoints = tuple(
            published.name
            for published in objects
            if isinstance(published, Endpoint)
            and published.data_centre == self._data_centre
        )
        self._data_centres = tuple(
            published.name
            for published in objects
            if isinstance(published, DataCentre)
        )
