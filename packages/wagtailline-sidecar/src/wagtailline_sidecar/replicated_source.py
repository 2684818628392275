"""Source whose items are copied and decoded as they change."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from wagtailline.ports import SourceUnavailable
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.model import Configuration, Endpoint
from wagtailline_sidecar.reading import EarlyEndpoints, Reading
from wagtailline_sidecar.refresh_events import OUTCOME_OK, SourceConflict
from wagtailline_sidecar.source_replica import (
    HistoryGone,
    SourceClient,
    SourceFailed,
    SourceItem,
    SourceReadEnded,
    SourceReplica,
)
from wagtailline_sidecar.source_revision import NO_REVISION, SourceRevision
from wagtailline_sidecar.supervision import describe_failure

# Longest reading, apart from the time that it waits for a change.
MAX_READ_SECONDS = 3.0
# If a changed configuration took longer to arrive, the next reading gets only
# the latest one: the link is too slow for the versions in between.
SLOW_TRANSFER_SECONDS = 0.2
# A reading that takes this much longer than it waits has a large answer.
PROMPT_READ_SECONDS = 0.1
OVERTAKING_WAIT_SECONDS = 0.25
_MILLISECONDS_PER_SECOND = 1000


class ConfigurationChanged(NamedTuple):
    """An item holds a new configuration."""

    configuration: Configuration


class EndpointChanged(NamedTuple):
    """An item holds an endpoint, or None if it names none any more."""

    key: str
    endpoint: Endpoint | None


class DataCentreChanged(NamedTuple):
    """An item tells whether a data centre receives new requests."""

    data_centre: str
    is_closed: bool


class ItemIgnored(NamedTuple):
    """An item that is none of these, or no longer holds a configuration."""

    key: str


class ItemUnreadable(NamedTuple):
    """Event: an item of the source could not be decoded and is ignored."""

    key: str
    revision: SourceRevision
    problem: str


ItemChange = (
    ConfigurationChanged
    | EndpointChanged
    | DataCentreChanged
    | ItemIgnored
    | ItemUnreadable
)


class MeasuringClient(SourceClient, Protocol):
    """Client that measures the transfers of its answers."""

    transfer_seconds: float
    received_bytes: int

    def reset_figures(self) -> None:
        """Count the bytes and the time of transfers from zero."""

    def close(self) -> None:
        """Close the connection, on which a late answer could arrive."""


class SourceClients(NamedTuple):
    """Clients with a connection each; ``early`` overtakes the other."""

    regular: MeasuringClient
    early: MeasuringClient


def _ignore_endpoints(endpoints: EarlyEndpoints) -> None:
    """Ignore early changes; the default if no listener is set."""


class ReplicatedSource:
    """Source that decodes the items of a replica.

    The entries of endpoints are small. While a large answer arrives on one
    connection, their changes are watched on another.
    """

    def __init__(
        self,
        clients: SourceClients,
        decode: Callable[[SourceItem], ItemChange],
        endpoint_prefix: str,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Set up the source; it connects when ``read`` is first called.

        The keys of endpoints begin with ``endpoint_prefix``. The attribute
        ``on_early_endpoints`` is called with changes of the endpoints that
        arrive before a reading has ended.
        """
        self._client, self._early_client = clients
        self._decode = decode
        self._observe = observe
        self._clock = BootClock()
        self._replica = SourceReplica(
            self._client,
            self._apply,
            self._clock,
            endpoint_prefix,
            self._report_conflict,
        )
        self._decode_seconds = float(0)
        self._configuration: Configuration | None = None
        self._configuration_revision = NO_REVISION
        self._endpoints: dict[str, Endpoint] = {}
        self._closed: set[str] = set()
        self.on_early_endpoints: Callable[[EarlyEndpoints], None] = (
            _ignore_endpoints
        )

    async def read(
        self, wait_seconds: float
    ) -> Result[Reading, SourceUnavailable]:
        """Return the published state, which is no older than the call.

        Waits up to ``wait_seconds`` for a change. What was known before a
        failure is kept, so that it isn't read again.
        """
        known = self._configuration
        self._client.reset_figures()
        self._decode_seconds = 0
        overtaking = asyncio.ensure_future(self._overtake(wait_seconds))
        try:
            failure = await self._refresh(wait_seconds)
        finally:
            overtaking.cancel()
        transfer_seconds = self._client.transfer_seconds
        self._observe(
            SourceReadEnded(
                failure or OUTCOME_OK,
                self._client.received_bytes,
                int(transfer_seconds * _MILLISECONDS_PER_SECOND),
                int(self._decode_seconds * _MILLISECONDS_PER_SECOND),
                self._replica.load_reason,
                self._replica.revision,
                0
                if self._configuration is None
                else self._configuration.version,
            )
        )
        if failure:
            self._client.close()
            return Err(SourceUnavailable(failure))
        if self._configuration is not known:
            is_slow = transfer_seconds > SLOW_TRANSFER_SECONDS
            self._replica.avoids_history = is_slow
        return Ok(
            Reading(
                self._replica.revision,
                self._configuration,
                self._list_endpoints(),
                frozenset(self._closed),
                self._replica.prompt_revision,
                configuration_revision=self._configuration_revision,
                era_start=self._replica.era_start,
            )
        )

    async def _refresh(self, wait_seconds: float) -> str:
        """Bring the copy up to date; return the reason of a failure, if any."""
        try:
            async with asyncio.timeout(wait_seconds + MAX_READ_SECONDS):
                await self._replica.refresh(wait_seconds)
        except TimeoutError:
            return 'timeout'
        except SourceFailed as failure:
            return str(failure)
        return ''

    async def _overtake(self, wait_seconds: float) -> None:
        """Pass on changes of endpoints for as long as a reading goes on."""
        await asyncio.sleep(wait_seconds + PROMPT_READ_SECONDS)
        while self._endpoints:
            requested_at = self._clock.boot()
            if await self._watch_endpoints():
                self.on_early_endpoints(
                    EarlyEndpoints(
                        self._replica.prompt_revision,
                        self._list_endpoints(),
                        requested_at,
                    )
                )
            else:
                await asyncio.sleep(OVERTAKING_WAIT_SECONDS)

    async def _watch_endpoints(self) -> bool:
        """Apply changes of endpoints; return whether the watch succeeded.

        The failures of the source are left to the reading, which reports them.
        """
        try:
            await self._replica.overtake(
                self._early_client, OVERTAKING_WAIT_SECONDS
            )
        except (HistoryGone, TimeoutError, SourceFailed):
            self._early_client.close()
            return False
        except Exception as error:
            self._observe(describe_failure('watch_endpoints', error))
            self._early_client.close()
            return False
        except BaseException:
            self._early_client.close()
            raise
        return True

    def _list_endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints in the order of their keys."""
        return tuple(
            endpoint for _, endpoint in sorted(self._endpoints.items())
        )

    def _decode_safely(self, item: SourceItem) -> ItemChange:
        """Decode an item; one that raises an error holds up no other."""
        try:
            return self._decode(item)
        except Exception as error:
            problem = describe_failure('decode', error).problem
            return ItemUnreadable(item.key, item.revision, problem)

    def _report_conflict(self, item: SourceItem) -> None:
        self._observe(SourceConflict(item.key, str(item.revision)))

    def _apply(self, item: SourceItem) -> None:
        """Decode a changed item; a removed configuration remains in force."""
        started_at = self._clock.boot()
        change = self._decode_safely(item)
        self._decode_seconds += self._clock.boot() - started_at
        match change:
            case ConfigurationChanged(configuration):
                self._configuration = configuration
                self._configuration_revision = item.revision
            case DataCentreChanged(data_centre, is_closed):
                self._closed.discard(data_centre)
                if is_closed:
                    self._closed.add(data_centre)
            case EndpointChanged(key, endpoint):
                self._endpoints.pop(key, None)
                if endpoint is not None:
                    self._endpoints[key] = endpoint
            case ItemUnreadable(key):
                self._endpoints.pop(key, None)
                self._observe(change)
