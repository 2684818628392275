"""Tests the indexes and checks of snapshots, and the snapshot store."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from wagtailline.checks import check_set
from wagtailline.objects import Endpoint, Key, Limit, Route, object_id
from wagtailline.snapshot import (
    ForkedVersion,
    OlderVersion,
    Snapshot,
    SnapshotStore,
)
from wagtailline_lab.sample_set import make_objects

_BASE = make_objects(6, 2, 2, accounts=2)
_SHORT = st.integers(0, 3)
_EDITS = st.one_of(
    st.builds(
        lambda name, account, digest: Key(
            f'key{name}', f'account{account}', f'{digest:064x}'
        ),
        _SHORT,
        _SHORT,
        _SHORT,
    ),
    st.builds(
        lambda name, prefix, service: Route(
            f'route{name}', f'/s{prefix}', f'service{service}'
        ),
        _SHORT,
        _SHORT,
        _SHORT,
    ),
    st.builds(
        lambda number, service: Endpoint(
            f'endpoint{number}.dc0', f'service{service}', 'dc0', 6, 120
        ),
        _SHORT,
        _SHORT,
    ),
    st.sampled_from(sorted(_BASE)),
)


@settings(deadline=None, derandomize=True)
@given(st.lists(_EDITS, max_size=6))
def test_incremental_equals_whole(edits):
    """Incremental checks and indexes must agree with those of a whole set.

    Otherwise a faulty set is installed, or a request finds outdated objects.
    """
    objects = dict(_BASE)
    for edit in edits:
        if type(edit) is tuple:
            objects.pop(edit, None)
        else:
            objects[object_id(edit)] = edit
    changed = {
        identity
        for identity in objects.keys() | _BASE.keys()
        if objects.get(identity) != _BASE.get(identity)
    }
    base = Snapshot(1, b'1', _BASE)
    assert bool(base.find_faults(objects, changed)) == bool(check_set(objects))
    if check_set(objects):
        return
    rebuilt = Snapshot(2, b'2', objects)
    successor = base.advance(2, b'2', objects, changed)
    for number in range(4):
        digest = f'{number:064x}'
        assert successor.find_account_by_key(
            digest
        ) == rebuilt.find_account_by_key(digest)
        path = f'/s{number}/a'
        assert successor.match_route(path) == rebuilt.match_route(path)
        service = f'service{number}'
        assert sorted(successor.endpoints_of(service)) == sorted(
            rebuilt.endpoints_of(service)
        )


@pytest.mark.parametrize(
    ('path', 'route'),
    [
        ('/a', 'a'),
        ('/a?x=/a/b', 'a'),
        ('/a/b', 'ab'),
        ('/a/b/', 'ab/'),
        ('/a/b/c', 'ab/'),
        ('/ab', None),
        ('/a/bc', 'a'),
    ],
)
def test_routes_match_whole_segments(path, route):
    """A prefix that matches part of a segment routes calls elsewhere."""
    routes = [
        Route('a', '/a', 's'),
        Route('ab', '/a/b', 's'),
        Route('ab/', '/a/b/', 's'),
    ]
    snapshot = Snapshot(1, b'', {object_id(entry): entry for entry in routes})
    found = snapshot.match_route(path)
    assert (found and found.name) == route


def test_store_never_returns_to_an_older_version():
    """An older version or a fork must not replace the current snapshot."""
    store = SnapshotStore()
    objects = {object_id(entry): entry for entry in (Limit('l', 1, 1),)}
    assert isinstance(store.install(Snapshot(2, b'2', objects)), Ok)
    assert store.install(Snapshot(1, b'1', {})) == Err(OlderVersion(2, 1))
    fork = store.install(Snapshot(2, b'x', {}))
    assert fork == Err(ForkedVersion(2, b'2', b'x'))
    assert store.version == 2
    assert store.current.find_limit('l') is not None
