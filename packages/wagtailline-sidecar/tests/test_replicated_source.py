"""Tests of the source that copies and decodes items."""

from _fixtures import make_configuration, make_endpoint
from result import Ok

from wagtailline_sidecar.replicated_source import (
    ConfigurationChanged,
    EndpointChanged,
    ItemUnreadable,
    ReplicatedSource,
    SourceClients,
)
from wagtailline_sidecar.source_replica import (
    SourceChanges,
    SourceItem,
    SourcePage,
)
from wagtailline_sidecar.source_revision import SourceRevision


class ScriptedClient:
    """Client of a source with given items and no changes."""

    def __init__(self, *items: SourceItem) -> None:
        self.items = items
        self.transfer_seconds = 0.0
        self.received_bytes = 0

    async def read_page(self, after_key):
        return SourcePage(self.items, SourceRevision(1, len(self.items)), False)

    async def watch(self, prefix, after, wait_seconds):
        return SourceChanges((), SourceRevision(1, len(self.items)))

    def reset_figures(self) -> None:
        """Count nothing."""

    def close(self) -> None:
        """Close nothing."""


def decode(item: SourceItem):
    match item.key:
        case 'configuration':
            return ConfigurationChanged(make_configuration())
        case 'odd':
            raise OverflowError('int too big to convert')
    return EndpointChanged(item.key, make_endpoint(item.key))


async def test_item_that_raises_an_unexpected_error_holds_up_no_other():
    """Guards against an item whose fault nobody foresaw."""
    events: list = []
    keys = ('odd', 'configuration', 'e1', 'e2')
    client = ScriptedClient(
        *(
            SourceItem(key, SourceRevision(1, number), b'')
            for number, key in enumerate(keys, 1)
        )
    )
    source = ReplicatedSource(
        SourceClients(client, client), decode, 'e', events.append
    )
    result = await source.read(0)
    assert isinstance(result, Ok), result
    identities = [found.identity for found in result.ok_value.endpoints]
    assert identities == ['e1', 'e2']
    unreadable = [
        event for event in events if isinstance(event, ItemUnreadable)
    ]
    assert [event.key for event in unreadable] == ['odd']
