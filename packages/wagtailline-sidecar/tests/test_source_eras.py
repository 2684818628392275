"""Tests of snapshots from before and after a restore of the source."""

import asyncio

import pytest
from _fixtures import (
    FakeClock,
    make_account,
    make_configuration,
    make_endpoint,
    make_snapshot_store,
)
from _refresh_fleet import Fleet, make_settled_fleet

from wagtailline.placement import rank_nodes
from wagtailline.ports import Address
from wagtailline_sidecar._configuration_selector import ConfigurationRefused
from wagtailline_sidecar.era_writes import REWRITE_SECONDS
from wagtailline_sidecar.reading import EarlyEndpoints, Reading
from wagtailline_sidecar.refresh_events import (
    OUTCOME_EARLIER_ERA,
    EraChanged,
    RefreshEnded,
    SourceLost,
)
from wagtailline_sidecar.snapshot import SnapshotStore
from wagtailline_sidecar.source_revision import SourceRevision

OLD, NEW = 1, 2


class Daemon:
    def __init__(self) -> None:
        self.clock = FakeClock()
        self.events: list = []
        self.snapshots: SnapshotStore = make_snapshot_store(
            self.clock, self.events.append
        )

    def read(self, era, number, *endpoints, closed=(), **version) -> None:
        self.clock.now += 0.1
        self.snapshots.apply(
            make_reading(era, number, *endpoints, closed=closed, **version),
            self.clock.now,
        )

    def apply(self, reading: Reading) -> None:
        """Apply a reading of its own."""
        self.clock.now += 0.1
        self.snapshots.apply(reading, self.clock.now)

    def hear(self, reading: Reading, age_seconds: float = 0) -> None:
        """Apply a reading of a peer."""
        self.snapshots.apply(
            reading, self.clock.now - age_seconds, self.clock.now
        )

    @property
    def version(self) -> int:
        return self.snapshots.current.configuration.version


def make_reading(era, number, *endpoints, closed=(), version=1, accounts=()):
    return Reading(
        SourceRevision(era, number),
        make_configuration(version=version, era=era, accounts=accounts),
        endpoints,
        frozenset(closed),
    )


@pytest.mark.parametrize('is_from_peer', [False, True])
def test_lower_revision_of_a_later_era_is_newer(is_from_peer):
    """Guards against a change after a drill that is never in force."""
    daemon = Daemon()
    daemon.read(OLD, 60, version=5)
    if is_from_peer:
        daemon.hear(make_reading(NEW, 2, version=6))
    else:
        daemon.read(NEW, 2, version=6)
    assert daemon.version == 6
    assert daemon.snapshots.age_seconds == 0
    changes = [e for e in daemon.events if isinstance(e, EraChanged)]
    assert [(e.previous_era, e.era) for e in changes] == [(OLD, NEW)]


def test_higher_revision_of_an_earlier_era_changes_and_proves_nothing():
    """Guards against a late answer, or an old peer, that confirms a key."""
    daemon = Daemon()
    daemon.read(NEW, 2, version=6)
    daemon.clock.now += 4
    daemon.hear(make_reading(OLD, 99, make_endpoint(), version=7))
    assert daemon.version == 6
    assert daemon.snapshots.current.endpoints == ()
    assert daemon.snapshots.age_seconds == 4


def test_proof_of_an_earlier_era_does_not_count_in_the_next():
    """Guards against a key that is confirmed by what the source has lost."""
    daemon = Daemon()
    daemon.read(OLD, 60)
    daemon.hear(make_reading(NEW, 2), age_seconds=3)
    assert daemon.snapshots.age_seconds == 3


def test_version_stays_until_it_is_published_again():
    """Guards against a withdrawn key that a restore brings back."""
    daemon = Daemon()
    daemon.read(OLD, 60, version=9)
    daemon.read(NEW, 2, version=5)
    assert daemon.version == 9
    refused = [e for e in daemon.events if isinstance(e, ConfigurationRefused)]
    assert [(e.version, e.era) for e in refused] == [(5, NEW)]
    daemon.read(NEW, 3, version=11)
    assert daemon.version == 11


def write(number, version, start=2) -> Reading:
    """Return a reading whose version was published at its own revision.

    The new era is known from the revision ``start`` on.
    """
    reading = make_reading(NEW, number, version=version)
    return reading._replace(
        configuration_revision=reading.revision,
        era_start=SourceRevision(NEW, start),
    )


def make_daemon_after_a_drill() -> Daemon:
    """Return a daemon at version 9 whose source went back to version 5."""
    daemon = Daemon()
    daemon.read(OLD, 60, version=9)
    daemon.apply(write(2, version=5))
    return daemon


def make_follower_of_lower_versions() -> Daemon:
    """Return a daemon that has followed an operator from 9 to 7."""
    daemon = make_daemon_after_a_drill()
    daemon.clock.now += REWRITE_SECONDS
    daemon.apply(write(3, version=7))
    return daemon


def test_operator_that_goes_on_with_lower_versions_is_followed():
    """Guards against routes that are never in force after a drill.

    The operator counts on from the copy. Versions that are written within the
    grace period may be lost ones, written again, and take nothing back.
    """
    daemon = make_daemon_after_a_drill()
    daemon.apply(write(3, version=7))
    assert daemon.version == 9
    daemon.clock.now += REWRITE_SECONDS
    daemon.apply(write(3, version=7))
    assert daemon.version == 7
    daemon.apply(write(5, version=8))
    assert daemon.version == 8
    assert daemon.snapshots.configuration_revision == (NEW, 5)


def test_lower_version_of_a_peer_is_followed_at_once():
    """Guards against a daemon that is late by a grace period of its own."""
    daemon = make_daemon_after_a_drill()
    daemon.hear(write(3, version=7))
    assert daemon.version == 7


def test_daemon_that_has_just_started_passes_on_no_lower_version():
    """Guards against a lost version, written again, that spreads."""
    daemon = Daemon()
    daemon.apply(write(2, version=5))
    daemon.apply(write(3, version=7))
    assert daemon.version == 7
    assert daemon.snapshots.configuration_revision == (0, 0)
    daemon.clock.now += REWRITE_SECONDS
    assert daemon.snapshots.configuration_revision == (NEW, 3)


def test_version_of_an_earlier_era_does_not_return_with_a_peer():
    """Guards against a peer that woke after a drill, and holds more.

    It has not seen the era before the lower version was published, so it
    takes that for a copied one.
    """
    daemon = make_follower_of_lower_versions()
    late = make_reading(NEW, 9, version=9)
    configuration = late.configuration._replace(era=OLD)
    daemon.hear(late._replace(configuration=configuration))
    assert daemon.version == 7


@pytest.mark.parametrize('era', [0, NEW])
def test_next_version_of_a_parent_that_has_just_started_is_taken(era):
    """Guards against a route that waits for the grace period of a parent.

    For that time the parent doesn't tell where its version comes from.
    """
    daemon = Daemon()
    first = make_reading(era, 5, version=7)
    daemon.apply(
        first._replace(
            configuration_revision=first.revision,
            era_start=SourceRevision(era, min(era, 2)),
        )
    )
    daemon.hear(make_reading(era, 6, version=8))
    assert daemon.version == 8


def test_start_of_an_era_that_a_parent_knows_is_remembered():
    """Guards against a lower version that is refused by the next reader.

    Its own first answer of the era came after the version was published.
    """
    daemon = Daemon()
    daemon.read(OLD, 60, version=9)
    daemon.hear(write(2, version=5))
    daemon.clock.now += REWRITE_SECONDS
    published = write(3, version=7)._replace(era_start=SourceRevision(NEW, 6))
    daemon.apply(published._replace(revision=SourceRevision(NEW, 7)))
    assert daemon.version == 7


def test_daemon_that_starts_after_a_lower_version_learns_its_era():
    """Guards against a daemon that can't pass a lower version on."""
    daemon = Daemon()
    published = write(3, version=7)._replace(era_start=SourceRevision(NEW, 6))
    daemon.apply(published._replace(revision=SourceRevision(NEW, 7)))
    daemon.clock.now += REWRITE_SECONDS
    assert daemon.snapshots.era_start == (NEW, 6)
    known = published._replace(
        configuration=None,
        revision=SourceRevision(NEW, 8),
        era_start=SourceRevision(NEW, 2),
    )
    daemon.hear(known)
    assert daemon.snapshots.era_start == (NEW, 2)
    assert daemon.snapshots.configuration_revision == (NEW, 3)


def test_entry_of_a_service_that_is_not_named_takes_no_address():
    """Guards against an odd entry that hides the endpoint at its address."""
    daemon = Daemon()
    endpoint = make_endpoint()
    odd = endpoint._replace(
        identity='i-2', service='odd', started_ms=endpoint.started_ms + 1
    )
    daemon.read(NEW, 3, endpoint, odd)
    assert daemon.snapshots.current.endpoints == (endpoint,)


def test_endpoints_of_a_parent_with_an_older_version_are_all_kept():
    """Guards against services that a parent with a copied version hides."""
    parent, child = Daemon(), make_daemon_after_a_drill()
    endpoint = make_endpoint()
    unnamed = endpoint._replace(
        identity='i-2', service='new', address=Address('10.0.0.2', 80)
    )
    parent.read(NEW, 3, endpoint, unnamed, version=5)
    assert parent.snapshots.current.endpoints == (endpoint,)
    child.hear(
        make_reading(NEW, 4, *parent.snapshots.listed_endpoints, version=5)
    )
    configuration = child.snapshots.current.configuration
    services = {
        **configuration.services,
        'new': configuration.services['desk']._replace(name='new'),
    }
    reading = make_reading(NEW, 5, version=11)
    child.hear(
        reading._replace(
            configuration=configuration._replace(
                version=11, era=NEW, services=services
            ),
            endpoints=child.snapshots.listed_endpoints,
        )
    )
    assert child.snapshots.current.endpoints == (endpoint, unnamed)


def test_copied_version_does_not_come_back_after_the_grace_period():
    """Guards against a withdrawn key that a restore brings back later."""
    daemon = make_daemon_after_a_drill()
    daemon.clock.now += REWRITE_SECONDS
    daemon.apply(write(2, version=5))
    assert daemon.version == 9


def test_lower_version_of_the_same_era_is_never_in_force():
    """Guards against a late write that takes back a later version."""
    daemon = Daemon()
    daemon.apply(write(60, version=9))
    daemon.clock.now += REWRITE_SECONDS
    daemon.apply(write(61, version=7))
    assert daemon.version == 9


def test_same_version_of_a_later_era_replaces_the_one_before():
    """Guards against content that was lost and stays in force."""
    daemon = Daemon()
    daemon.read(OLD, 60, version=9, accounts=(make_account('lost'),))
    daemon.read(NEW, 60, version=9, accounts=(make_account('kept'),))
    assert daemon.snapshots.current.configuration.accounts.keys() == {'kept'}
    assert not any(isinstance(e, ConfigurationRefused) for e in daemon.events)


def test_same_version_of_the_same_era_with_other_content_is_a_conflict():
    """Guards against daemons with different sets under one version."""
    daemon = Daemon()
    daemon.read(OLD, 60, version=9, accounts=(make_account('first'),))
    for _ in range(2):
        daemon.read(OLD, 61, version=9, accounts=(make_account('second'),))
    daemon.read(OLD, 62, version=9, accounts=(make_account('first'),))
    assert daemon.snapshots.current.configuration.accounts.keys() == {'first'}
    problems = [
        event.problem
        for event in daemon.events
        if isinstance(event, ConfigurationRefused)
    ]
    assert problems == ['version: other content than in force']


def test_early_endpoints_wait_for_the_rest_of_their_era():
    """Guards against endpoints of one era beside routes of another."""
    daemon = Daemon()
    daemon.read(OLD, 60, make_endpoint())
    early = EarlyEndpoints(SourceRevision(NEW, 2), (), daemon.clock.now)
    daemon.snapshots.apply_early(early)
    assert daemon.snapshots.current.endpoints == (make_endpoint(),)
    assert daemon.snapshots.current.revision == (OLD, 60)


def find_outcomes(fleet: Fleet) -> set[str]:
    return {
        event.outcome
        for event in fleet.events
        if isinstance(event, RefreshEnded)
    }


def list_eras(fleet: Fleet) -> set[int]:
    return {store.era for store in fleet.stores.values()}


@pytest.mark.looptime
@pytest.mark.parametrize('daemons', [3, 12, 195])
async def test_era_reaches_every_daemon_in_time(daemons):
    """Guards against a daemon that stays in the earlier era.

    And against a herd at the source, which all daemons would read at once.
    """
    hosts = [f'10.0.0.{number}' for number in range(1, daemons + 1)]
    fleet = Fleet(tuple(rank_nodes('oslo-a', hosts)))
    await fleet.start()
    await asyncio.sleep(3)
    reads = fleet.reads
    fleet.era, fleet.revision = NEW, 1
    await asyncio.sleep(2)
    assert list_eras(fleet) == {NEW}
    assert fleet.greatest_age() < 2
    assert fleet.reads - reads < 12


@pytest.mark.looptime
async def test_peer_of_an_earlier_era_is_no_source():
    """Guards against a daemon that waits for a peer cut off from a restore."""
    fleet = await make_settled_fleet()
    root, child = fleet.hosts[0], fleet.hosts[1]
    reading = make_reading(NEW, 1, *fleet.stores[child].current.endpoints)
    now = fleet.clock.boot()
    fleet.stores[child].apply(reading, now, now)
    await asyncio.sleep(0.6)
    assert OUTCOME_EARLIER_ERA in find_outcomes(fleet)
    assert fleet.stores[root].era == OLD
    assert fleet.stores[child].era == NEW
    lost = [e for e in fleet.events if isinstance(e, SourceLost)]
    assert lost[0].reason == 'answer of era 1 after era 2'
    fleet.era, fleet.revision = NEW, 1
    await asyncio.sleep(2)
    assert list_eras(fleet) == {NEW}
    assert fleet.greatest_age() < 2
