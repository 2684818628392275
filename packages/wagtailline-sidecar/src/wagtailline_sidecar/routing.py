"""Lookup of the route of a request and choice of its service."""

import itertools
from random import Random
from typing import NamedTuple

from wagtailline_sidecar.model import (
    ClientAccount,
    Configuration,
    Route,
    ServiceWeight,
)


class RouteTable:
    """Index of the routes and keys of one configuration.

    Routes are matched by host and longest path prefix.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Index the routes and the keys of the client accounts."""
        self.configuration = configuration
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            routes_by_prefix = self._routes_by_host.setdefault(
                route.host.lower(), {}
            )
            routes_by_prefix[route.prefix] = route
        self._accounts_by_key = {
            key: account
            for account in configuration.accounts.values()
            for key in account.keys
        }

    @property
    def has_accounts(self) -> bool:
        """Return whether any client accounts are configured.

        Without them, no request needs a key.
        """
        return bool(self.configuration.accounts)

    def find_route(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching prefix, or None.

        A route whose host names a port goes before those of all ports.
        """
        host, path = host.lower(), target.partition('?')[0]
        route = self._find_route_of(host, path)
        if route is not None:
            return route
        return self._find_route_of(host.rsplit(':', 1)[0], path)

    def _find_route_of(self, host: str, path: str) -> Route | None:
        routes_by_prefix = self._routes_by_host.get(host)
        if routes_by_prefix is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            route = routes_by_prefix.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None

    def find_account(self, key: str) -> ClientAccount | None:
        """Return the client account of a key, or None."""
        return self._accounts_by_key.get(key)


class _Split(NamedTuple):
    """Credits of a route's services, earned under these weights."""

    service_weights: tuple[ServiceWeight, ...]
    credits: dict[str, float]


class Splitter:
    """Distributor of a route's requests over its services by weight.

    Smooth weighted round robin keeps each service within one request of its
    share. Random starting positions prevent daemons from choosing the same
    service at the same time. Changed weights start a route again, because
    credits that were earned under others could exceed a whole cycle.
    """

    def __init__(self, random: Random) -> None:
        """Set up a splitter that starts each route at a random position."""
        self._random = random
        self._splits: dict[str, _Split] = {}

    def choose(self, route: Route) -> str:
        """Return the service of the next request."""
        if len(route.service_weights) == 1:
            return route.service_weights[0].service
        total_weight = sum(
            service_weight.weight for service_weight in route.service_weights
        )
        split = self._splits.get(route.name)
        if split is None or split.service_weights != route.service_weights:
            split = self._start_route(route, total_weight)
        credits = split.credits
        for service_weight in route.service_weights:
            credits[service_weight.service] += service_weight.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= total_weight
        return chosen

    def _start_route(self, route: Route, total_weight: float) -> _Split:
        position = self._random.random() * total_weight
        segment_ends = itertools.accumulate(
            service_weight.weight for service_weight in route.service_weights
        )
        credits = {
            service_weight.service: float(0)
            for service_weight in route.service_weights
        }
        for service_weight, segment_end in zip(
            route.service_weights, segment_ends, strict=True
        ):
            if position < segment_end:
                # The service at the start position is half a cycle ahead.
                credits[service_weight.service] += total_weight / 2
                break
        split = _Split(route.service_weights, credits)
        self._splits[route.name] = split
        return split
