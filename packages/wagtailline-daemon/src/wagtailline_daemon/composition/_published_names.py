"""Names that membership needs of the snapshot, computed once for each."""

from wagtailline.membership import Published
from wagtailline.objects import DataCentre, Endpoint
from wagtailline.snapshot import Snapshot, SnapshotStore


class PublishedNames:
    """Endpoints of the own data centre, and all data centres."""

    def __init__(self, store: SnapshotStore, data_centre: str) -> None:
        """Read the snapshot in force at each use."""
        self._store = store
        self._data_centre = data_centre
        self._snapshot: Snapshot | None = None
        self._endpoints: tuple[str, ...] = ()
        self._data_centres: tuple[str, ...] = ()

    def published(self) -> Published:
        """Return the two functions that membership calls."""
        return Published(self.endpoints, self.data_centres)

    def endpoints(self) -> tuple[str, ...]:
        """Return the endpoints of the own data centre."""
        self._refresh()
        return self._endpoints

    def data_centres(self) -> tuple[str, ...]:
        """Return the names of all data centres."""
        self._refresh()
        return self._data_centres

    def _refresh(self) -> None:
        snapshot = self._store.current
        if snapshot is None or snapshot is self._snapshot:
            return
        self._snapshot = snapshot
        objects = snapshot.objects.values()
        self._endpoints = tuple(
            one.name
            for one in objects
            if isinstance(one, Endpoint)
            and one.data_centre == self._data_centre
        )
        self._data_centres = tuple(
            one.name for one in objects if isinstance(one, DataCentre)
        )
