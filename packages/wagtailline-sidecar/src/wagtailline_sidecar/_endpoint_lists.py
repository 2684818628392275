"""Lists of endpoints that follow from the entries of the source."""

from collections.abc import Container

from wagtailline.ports import Address
from wagtailline_sidecar.model import Endpoint


def select_named(
    listed: tuple[Endpoint, ...], services: Container[str]
) -> tuple[Endpoint, ...]:
    """Return the endpoints of services."""
    return tuple(
        endpoint for endpoint in listed if endpoint.service in services
    )


def add_expired(
    listed: tuple[Endpoint, ...], known: tuple[Endpoint, ...]
) -> tuple[Endpoint, ...]:
    """Return the listed endpoints, and the known ones whose entries expired.

    An endpoint whose address is listed under another identity was replaced.
    """
    listed_identities = {endpoint.identity for endpoint in listed}
    listed_addresses = {endpoint.address for endpoint in listed}
    expired = [
        endpoint
        for endpoint in known
        if endpoint.identity not in listed_identities
        and endpoint.address not in listed_addresses
    ]
    return (*listed, *expired)


def keep_latest(endpoints: tuple[Endpoint, ...]) -> tuple[Endpoint, ...]:
    """Return only the latest incarnation at each address.

    The entry of a crashed endpoint remains until it expires, even if a new
    incarnation is already registered at its address.
    """
    latest: dict[Address, Endpoint] = {}
    for endpoint in endpoints:
        previous = latest.get(endpoint.address)
        if previous is None or previous.started_ms <= endpoint.started_ms:
            latest[endpoint.address] = endpoint
    return tuple(latest.values())
