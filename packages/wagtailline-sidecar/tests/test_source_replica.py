"""Tests of the copy of the source that watches keep current."""

import pytest
from _fixtures import FakeClock

from wagtailline_sidecar.source_replica import (
    MAX_HISTORY_SECONDS,
    HistoryGone,
    SourceChanges,
    SourceItem,
    SourcePage,
    SourceReplica,
)


class FakeClient:
    """Source in memory that records how it is read."""

    def __init__(self) -> None:
        self.history: list[SourceItem] = []
        self.calls: list[str] = []
        self.is_deaf = False
        self.oldest_revision = 0

    @property
    def revision(self) -> int:
        return len(self.history)

    def put(self, key: str, content: bytes | None = b'') -> None:
        self.history.append(SourceItem(key, self.revision + 1, content))

    async def read_page(self, after_key, *, may_be_stale):
        self.calls.append('stale' if may_be_stale else 'fresh')
        latest = {item.key: item for item in self.history}
        items = [item for item in latest.values() if item.content is not None]
        return SourcePage(tuple(items), self.revision, has_more=False)

    async def watch(self, prefix, after, wait_seconds):
        self.calls.append('watch')
        if after < self.oldest_revision:
            raise HistoryGone
        heard = tuple(
            item
            for item in self.history[after:]
            if item.key.startswith(prefix) and not self.is_deaf
        )
        return SourceChanges(heard, self.revision)


class Harness:
    """Replica with the contents and the number of applied items."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.client = FakeClient()
        self.contents: dict[str, bytes] = {}
        self.applied = 0
        self.replica = SourceReplica(
            self.client, self.apply, self.clock, 'servers/'
        )

    def apply(self, item: SourceItem) -> None:
        self.applied += 1
        self.contents.pop(item.key, None)
        if item.content is not None:
            self.contents[item.key] = item.content

    async def refresh(self) -> list[str]:
        """Refresh, and return the calls that it took."""
        self.client.calls.clear()
        await self.replica.refresh(0)
        return self.client.calls


async def make_settled_harness() -> Harness:
    harness = Harness()
    harness.client.put('op/config', b'1')
    harness.client.put('servers/i-1')
    assert await harness.refresh() == ['stale', 'watch']
    return harness


async def test_refresh_takes_one_call():
    """Guards against calls that grow with the number of items."""
    harness = await make_settled_harness()
    harness.client.put('servers/i-2')
    harness.client.put('servers/i-1', None)
    assert await harness.refresh() == ['watch']
    assert harness.contents.keys() == {'op/config', 'servers/i-2'}


async def test_versions_in_between_are_not_applied():
    """Guards against every version of a storm decoded one after the other."""
    harness = await make_settled_harness()
    for version in range(40):
        harness.client.put('op/config', str(version).encode())
    harness.applied = 0
    await harness.refresh()
    assert harness.applied == 1
    assert harness.contents['op/config'] == b'39'


async def test_daemon_that_takes_over_does_not_read_the_history():
    """Guards against a late change after the reading daemon has stopped.

    The next one had not read for 40 s. Its watch brought all versions of that
    time, which took it 2.1 s on a day with a storm of versions.
    """
    harness = await make_settled_harness()
    harness.clock.now += MAX_HISTORY_SECONDS + 0.1
    harness.client.put('op/config', b'2')
    assert await harness.refresh() == ['fresh']
    assert harness.contents['op/config'] == b'2'
    harness.client.put('op/config', b'3')
    assert await harness.refresh() == ['watch']


@pytest.mark.parametrize('fault', ['deaf', 'gone'])
async def test_incomplete_watch_leads_to_a_whole_reading(fault):
    """Guards against a change that a watch did not hear."""
    harness = await make_settled_harness()
    harness.client.put('op/config', b'2')
    harness.client.put('servers/i-1', None)
    if fault == 'deaf':
        harness.client.is_deaf = True
    else:
        harness.client.oldest_revision = harness.client.revision
    assert await harness.refresh() == ['watch', 'fresh']
    assert harness.contents == {'op/config': b'2'}


@pytest.mark.parametrize('is_changed', [False, True])
async def test_slow_link_transfers_large_items_only_when_they_changed(
    is_changed,
):
    """Guards against a known configuration that is transferred once more.

    A leaving waited behind it. An item that changed between two small ones
    has to be found all the same.
    """
    harness = await make_settled_harness()
    harness.replica.avoids_history = True
    harness.client.put('servers/i-2')
    if is_changed:
        harness.client.put('op/config', b'2')
    harness.client.put('servers/i-1', None)
    calls = await harness.refresh()
    assert calls == (['watch', 'fresh'] if is_changed else ['watch'])
    assert harness.contents == {
        'op/config': b'2' if is_changed else b'1',
        'servers/i-2': b'',
    }
    assert harness.replica.revision == harness.client.revision


async def test_item_that_left_early_does_not_return_with_the_reading():
    """Guards against an endpoint that is used again after its leaving.

    The reading was asked for before the leaving and ends after it.
    """
    harness = await make_settled_harness()
    harness.client.put('servers/i-2')
    late_history = list(harness.client.history)
    harness.client.put('servers/i-2', None)
    await harness.replica.overtake(harness.client, 0)
    assert harness.contents.keys() == {'op/config', 'servers/i-1'}
    harness.client.history, history = late_history, harness.client.history
    await harness.refresh()
    assert harness.contents.keys() == {'op/config', 'servers/i-1'}
    harness.client.history = history
    await harness.refresh()
    assert harness.contents.keys() == {'op/config', 'servers/i-1'}
    assert harness.replica.prompt_revision == harness.client.revision


async def test_revision_far_ahead_leads_to_a_whole_reading():
    """Guards against a revision of the source that takes up all memory."""
    harness = await make_settled_harness()
    harness.replica.avoids_history = True
    watch = harness.client.watch

    async def watch_ahead(prefix, after, wait_seconds):
        changes = await watch(prefix, after, wait_seconds)
        return changes._replace(revision=10**15)

    harness.client.watch = watch_ahead
    assert await harness.refresh() == ['watch', 'fresh']
