"""Tests of large configurations that follow each other quickly."""

import json
from random import Random

import pytest
from _daemons import make_large_configuration
from result import Ok

from wagtailline_lab.registry_platform import RegistryPlatform
from wagtailline_platform.store import open_store

MAX_VALUE_BYTES = 1024 * 1024
# More than an answer may hold.
VERSIONS = 4
KEY_BYTES = 12
ROUTES = 2000


def make_largest_configuration(version: int) -> dict:
    """Return a configuration of 1 MiB that hardly compresses."""
    configuration = make_large_configuration(version, ROUTES)
    random = Random(version)
    spare_bytes = MAX_VALUE_BYTES - len(json.dumps(configuration))
    keys = configuration['tenants']['studio']['apiKeys']
    # A key is written with two quotes, a comma and a space.
    count = spare_bytes // (2 * KEY_BYTES + 4)
    keys += [random.randbytes(KEY_BYTES).hex() for _ in range(count)]
    return configuration


@pytest.fixture
async def platform():
    platform = RegistryPlatform()
    platform.address = await platform.start()
    yield platform
    await platform.stop()


async def test_versions_too_large_for_one_answer_are_read(platform):
    """Guards against a version that is read 2 s late, if not later.

    The changes since the last reading were more than an answer may hold, and
    each reading asked for the same ones again.
    """
    platform.put('op/config', make_largest_configuration(1))
    store = open_store(platform.address, lambda event: None)
    assert isinstance(await store.read(0), Ok)
    for version in range(2, 2 + VERSIONS):
        platform.put('op/config', make_largest_configuration(version))
    result = await store.read(0)
    assert isinstance(result, Ok), result
    assert result.ok_value.configuration.version == 1 + VERSIONS
