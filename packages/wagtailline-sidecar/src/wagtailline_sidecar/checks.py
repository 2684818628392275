"""Validates a whole configuration before any part of it is applied."""

from typing import NamedTuple

from wagtailline_sidecar.model import Configuration, Route


class ConfigurationFault(NamedTuple):
    """Reason for which a configuration is rejected."""

    subject: str
    problem: str


def check_configuration(
    configuration: Configuration,
) -> tuple[ConfigurationFault, ...]:
    """Return all faults of a configuration; none means that it is valid."""
    faults: list[ConfigurationFault] = []
    seen_matches: set[tuple[str, str]] = set()
    for route in configuration.routes:
        faults.extend(_check_route(route, configuration))
        match_key = (route.host, route.prefix)
        if match_key in seen_matches:
            faults.append(_route_fault(route, 'host and prefix are taken'))
        seen_matches.add(match_key)
    faults.extend(_check_accounts(configuration))
    return tuple(faults)


def _check_route(
    route: Route, configuration: Configuration
) -> list[ConfigurationFault]:
    faults = [
        _route_fault(route, f'unknown service {service_weight.service}')
        for service_weight in route.service_weights
        if service_weight.service not in configuration.services
    ]
    weights = [
        service_weight.weight for service_weight in route.service_weights
    ]
    if not weights or min(weights) < 0 or sum(weights) <= 0:
        faults.append(_route_fault(route, 'weights do not add up'))
    if route.timeout_seconds <= 0 or route.max_attempts < 1:
        faults.append(
            _route_fault(route, 'timeout or attempts below the least')
        )
    if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
        faults.append(_route_fault(route, 'prefix without its slashes'))
    return faults


def _check_accounts(configuration: Configuration) -> list[ConfigurationFault]:
    faults = []
    owners: dict[str, str] = {}
    for account in configuration.accounts.values():
        if account.rate < 0 or account.burst < 0:
            faults.append(ConfigurationFault(account.name, 'negative limit'))
        for key in account.keys:
            if owners.setdefault(key, account.name) != account.name:
                faults.append(
                    ConfigurationFault(account.name, 'key of two accounts')
                )
    return faults


def _route_fault(route: Route, problem: str) -> ConfigurationFault:
    return ConfigurationFault(route.name, problem)
