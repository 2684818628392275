"""Applies snapshots of the configuration to a gate."""

from wagtailline.admission._gate import Gate
from wagtailline.snapshot import Snapshot, SnapshotStore

OUT_OF_SERVICE = 'out of service'
WITHDRAWN = 'withdrawn'


async def follow_snapshots(
    store: SnapshotStore, endpoint: str, gate: Gate
) -> None:
    """Apply each snapshot to the gate until the task is cancelled."""
    version = 0
    while True:
        snapshot = await store.wait_for_newer(version)
        version = snapshot.version
        apply_snapshot(snapshot, endpoint, gate)


def apply_snapshot(snapshot: Snapshot, endpoint: str, gate: Gate) -> None:
    """Drain, resume or resize the gate of an endpoint.

    The gate drains while the snapshot lacks the endpoint, or while the
    endpoint or its data centre is out of service.
    """
    published = snapshot.find_endpoint(endpoint)
    if published is None:
        gate.drain(WITHDRAWN)
        return
    gate.resume(WITHDRAWN)
    gate.resize(published.slots)
    if snapshot.is_in_service(published):
        gate.resume(OUT_OF_SERVICE)
    else:
        gate.drain(OUT_OF_SERVICE)
