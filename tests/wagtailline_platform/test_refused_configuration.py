"""Tests that a configuration which is refused has no effect at all."""

from _daemons import make_configuration
from result import Ok

from wagtailline_lab.registry_platform import RegistryPlatform
from wagtailline_platform.store import open_store
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.snapshot import SnapshotStore
from wagtailline_sidecar.source_outages import SourceOutages


def ignore_event(event: object) -> None:
    """Ignore an event."""


def make_snapshots(clock: BootClock) -> SnapshotStore:
    outages = SourceOutages(clock, ignore_event, lambda moment: 0)
    return SnapshotStore(clock, ignore_event, outages)


async def test_refused_configuration_takes_no_endpoint_away():
    """Guards against requests that are refused after an invalid version.

    The endpoints were those of the services that the refused version names.
    """
    clock = BootClock()
    snapshots = make_snapshots(clock)
    platform = RegistryPlatform()
    store = open_store(await platform.start(), ignore_event)
    platform.put('op/config', make_configuration(1))
    entry = {
        'service': 'desk',
        'address': '10.0.0.1:80',
        'zone': 'oslo-a',
        'maxConcurrency': 4,
        'state': 'ready',
    }
    platform.put('servers/i-1', entry)
    for version in (1, 2):
        result = await store.read(0)
        assert isinstance(result, Ok), result
        snapshots.apply(result.ok_value, clock.boot())
        assert snapshots.current.configuration.version == 1, version
        assert len(snapshots.current.endpoints) == 1
        invalid = make_configuration(2)
        invalid['services'] = {'vault': invalid['services']['desk']}
        platform.put('op/config', invalid)
    await platform.stop()
