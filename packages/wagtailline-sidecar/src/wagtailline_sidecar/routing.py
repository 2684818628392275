"""Finds the route of a request, and the service of a route."""

import itertools
from random import Random

from wagtailline_sidecar.model import ClientAccount, Configuration, Route


class RouteTable:
    """Routes of one configuration by host and longest prefix."""

    def __init__(self, configuration: Configuration) -> None:
        """Index the routes and the keys of the accounts."""
        self.configuration = configuration
        self._prefixes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            prefixes = self._prefixes.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
        self._accounts = {
            key: account
            for account in configuration.accounts.values()
            for key in account.keys
        }

    @property
    def has_accounts(self) -> bool:
        """Tell whether requests need keys at all."""
        return bool(self.configuration.accounts)

    def find_route(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        prefixes = self._prefixes.get(host.lower().partition(':')[0])
        if prefixes is None:
            return None
        path = target.partition('?')[0]
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None

    def find_account(self, key: str) -> ClientAccount | None:
        """Return the account that holds a key."""
        return self._accounts.get(key)


class Splitter:
    """Distributes a route's requests over its services by weight.

    Smooth weighted round robin keeps each service within one request of its
    share; a random start keeps daemons out of step.
    """

    def __init__(self, random: Random) -> None:
        """Start every route at a random position."""
        self._random = random
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service of the next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        credits = self._credits.get(route.name)
        if credits is None or credits.keys() != _services(route):
            credits = self._start(route, total)
        for share in route.shares:
            credits[share.service] += share.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= total
        return chosen

    def _start(self, route: Route, total: float) -> dict[str, float]:
        position = self._random.random() * total
        ends = itertools.accumulate(share.weight for share in route.shares)
        credits = {share.service: float(0) for share in route.shares}
        for share, end in zip(route.shares, ends, strict=True):
            if position < end:
                # The service at the start position is half a turn ahead.
                credits[share.service] += total / 2
                break
        self._credits[route.name] = credits
        return credits


def _services(route: Route) -> set[str]:
    return {share.service for share in route.shares}
