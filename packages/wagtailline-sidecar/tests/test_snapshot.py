"""The snapshot in force."""

from _fixtures import (
    FakeClock,
    make_configuration,
    make_endpoint,
    make_route,
)

from wagtailline.ports import Address
from wagtailline_sidecar.model import Share
from wagtailline_sidecar.snapshot import (
    OUTAGE_SECONDS,
    REGISTRATION_GRACE_SECONDS,
    Reading,
    SnapshotStore,
)


def make_store() -> tuple[SnapshotStore, FakeClock, list]:
    clock = FakeClock()
    events: list = []
    return SnapshotStore(clock, events.append), clock, events


def read(snapshots, clock, revision, *endpoints, configuration=None, closed=()):
    offered = configuration or make_configuration()
    reading = Reading(revision, offered, endpoints, frozenset(closed))
    snapshots.apply(reading, clock.now)


def identities(snapshots) -> set:
    return {endpoint.identity for endpoint in snapshots.current.endpoints}


def test_older_version_is_never_applied():
    """Guards against a source that answers with an older version."""
    snapshots, clock, _ = make_store()
    read(snapshots, clock, 5, configuration=make_configuration(version=7))
    read(snapshots, clock, 6, configuration=make_configuration(version=6))
    assert snapshots.current.configuration.version == 7


def test_older_revision_changes_nothing():
    """Guards against a late answer that brings back what was withdrawn."""
    snapshots, clock, _ = make_store()
    read(snapshots, clock, 5, closed={'oslo-a'})
    read(snapshots, clock, 4)
    assert snapshots.current.closed_data_centres == {'oslo-a'}


def test_faulty_version_is_refused_whole():
    """Guards against a version that is applied in part."""
    snapshots, clock, events = make_store()
    read(snapshots, clock, 1)
    faulty = make_configuration(
        make_route(),
        make_route('other', prefix='/o/', shares=(Share('missing', 1),)),
        version=2,
    )
    read(snapshots, clock, 2, configuration=faulty)
    assert snapshots.current.configuration.version == 1
    assert any('missing' in getattr(one, 'problem', '') for one in events)


def test_entry_that_vanishes_is_gone_at_once():
    """Guards against work for an endpoint that left without a notice."""
    snapshots, clock, _ = make_store()
    read(snapshots, clock, 1, make_endpoint())
    clock.now += 1
    read(snapshots, clock, 2)
    assert identities(snapshots) == set()


def test_entries_that_lapsed_in_an_outage_come_back():
    """Guards against a mesh that loses its endpoints with the source."""
    snapshots, clock, _ = make_store()
    read(snapshots, clock, 1, make_endpoint())
    clock.now += OUTAGE_SECONDS + 1
    read(snapshots, clock, 2)
    assert identities(snapshots) == {'e1'}
    clock.now += REGISTRATION_GRACE_SECONDS + 0.1
    read(snapshots, clock, 3)
    assert identities(snapshots) == set()


def test_later_incarnation_replaces_the_one_at_its_address():
    """Guards against requests for the identity that crashed.

    Its entry lapses only after some heartbeats, while the next incarnation
    is registered at the same address.
    """
    snapshots, clock, _ = make_store()
    former = make_endpoint('e1', started_ms=1)
    latter = make_endpoint('e2', started_ms=2)
    other = make_endpoint('e3', address=Address('10.0.0.2', 8000))
    read(snapshots, clock, 1, latter, former, other)
    assert identities(snapshots) == {'e2', 'e3'}


def test_age_counts_from_the_question():
    """Guards against a slow answer that counts as current."""
    snapshots, clock, _ = make_store()
    asked_at = clock.now
    clock.now += 3
    snapshots.apply(Reading(1, make_configuration(), (), frozenset()), asked_at)
    assert snapshots.age_seconds == 3


def test_unchanged_reading_is_not_passed_to_listeners():
    """Guards against work for every reading in a fleet that stays the same.

    The listeners rank all hosts for every account; a fleet of 85 VMs had no
    processor time left for its requests.
    """
    snapshots, clock, _ = make_store()
    installed = []
    snapshots.subscribe(installed.append)
    configuration = make_configuration()
    for revision in (1, 2, 3):
        endpoints = (make_endpoint(),)
        reading = Reading(revision, configuration, endpoints, frozenset())
        snapshots.apply(reading, clock.now)
        clock.now += 1
    assert len(installed) == 1
    assert snapshots.current.revision == 3
    assert snapshots.age_seconds == 1
    changed = (make_endpoint(warm_up_left_seconds=2),)
    snapshots.apply(Reading(4, configuration, changed, frozenset()), clock.now)
    assert len(installed) == 2
