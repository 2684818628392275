"""Tests that readings follow a store whose items change all the time."""

import json
from random import Random
from typing import Any

import pytest
from _daemons import make_configuration
from _odd_entries import ODD_ENTRIES
from result import Ok

from wagtailline_lab.registry_platform import RegistryPlatform
from wagtailline_platform.store import open_store

SEEDS = 6
STEPS = 40
MAX_CHANGES = 6
ZONES = ('oslo-a', 'oslo-b', 'oslo-c')


class ChangingPlatform(RegistryPlatform):
    """Store that changes between two pages, and drops its history at times."""

    def __init__(self, random: Random) -> None:
        super().__init__()
        self.random = random
        self.page_items = random.randint(1, 4)
        self.version = 0
        self.changes_between_pages = False
        self.change()

    def change(self) -> None:
        """Make a few changes, of which several may concern one key."""
        self.put_version()
        for _ in range(self.random.randint(0, MAX_CHANGES)):
            self.random.choice((self.put_version, self.put_entry, self.close))()

    def put_version(self) -> None:
        self.version += self.random.randint(1, 5)
        configuration = make_configuration(self.version)
        configuration['tenants']['studio']['priority'] = self.version
        self.put('op/config', configuration)

    def put_entry(self) -> None:
        number = self.random.randint(1, 9)
        key = f'servers/i-{number}'
        if self.random.random() < 1 / 3:
            self.remove(key)
        elif self.random.random() < 1 / 3:
            content = self.random.choice(list(ODD_ENTRIES.values()))
            self.put_bytes(key, content)
        else:
            self.put(key, make_entry(number, self.random.randint(1, 9)))

    def close(self) -> None:
        key = f'op/evacuate/{self.random.choice(ZONES)}'
        if self.random.random() < 1 / 2:
            self.put(key, {})
        else:
            self.remove(key)

    def list_keys(self, prefix: str) -> set[str]:
        return {
            key.removeprefix(prefix)
            for key in self._items
            if key.startswith(prefix)
        }

    def list_readable(self) -> dict[str, int]:
        """Return the start of each endpoint whose entry can be read."""
        return {
            key.removeprefix('servers/'): json.loads(item.content)['born']
            for key, item in self._items.items()
            if key.startswith('servers/')
            and item.content not in ODD_ENTRIES.values()
        }

    def _answer_range(self, query: Any) -> bytes:
        answer = super()._answer_range(query)
        if self.changes_between_pages:
            self.change()
        return answer


def make_entry(number: int, born: int) -> dict:
    return {
        'service': 'desk',
        'address': f'10.0.0.{number}:80',
        'zone': 'oslo-a',
        'maxConcurrency': 4,
        'state': 'ready',
        'born': born,
    }


def disturb(platform: ChangingPlatform) -> None:
    """Choose what the next reading meets."""
    random = platform.random
    platform.change()
    platform.changes_between_pages = random.random() < 1 / 3
    platform.is_mute = random.random() < 1 / 4
    if random.random() < 1 / 4:
        platform.oldest_revision = platform.revision
    if random.random() < 1 / 4:
        platform.freeze_stale_reads()


@pytest.mark.parametrize('seed', range(SEEDS))
async def test_reading_holds_the_state_of_the_store(seed):
    """Guards against a version, entry or evacuation that a reading misses.

    Pages change while they are read, watches end without their changes, and
    the history goes between two readings.
    """
    platform = ChangingPlatform(Random(seed))
    store = open_store(await platform.start(), lambda event: None)
    for _ in range(STEPS):
        disturb(platform)
        version = platform.version
        result = await store.read(0)
        if isinstance(result, Ok) and not platform.is_mute:
            assert result.ok_value.configuration.version >= version
        platform.changes_between_pages = platform.is_mute = False
        result = await store.read(0)
        assert isinstance(result, Ok), result
        reading = result.ok_value
        assert reading.configuration.version == platform.version
        (account,) = reading.configuration.accounts.values()
        assert account.priority == platform.version
        closed = platform.list_keys('op/evacuate/')
        assert reading.closed_data_centres == closed
        started = {
            endpoint.identity: endpoint.started_ms
            for endpoint in reading.endpoints
        }
        assert started == platform.list_readable()
        assert reading.revision.number == platform.revision
    await platform.stop()
