"""Choice between the configuration in force and one that is offered."""

from collections.abc import Callable
from typing import NamedTuple

from wagtailline_sidecar.checks import ConfigurationFault, check_configuration
from wagtailline_sidecar.model import Configuration


class ConfigurationRefused(NamedTuple):
    """Event: a published configuration was rejected and not applied."""

    version: int
    in_force: int
    problem: str


class ConfigurationSelector:
    """Selector of configurations, which refuses faulty and older ones."""

    def __init__(self, observe: Callable[[NamedTuple], None]) -> None:
        """Set up a selector that reports each refused version once."""
        self._observe = observe
        self._refused_version = 0

    def select(
        self, in_force: Configuration | None, offered: Configuration | None
    ) -> Configuration | None:
        """Return the configuration to use: the offered one if it is sound."""
        if offered is None or offered is in_force:
            return in_force
        faults = check_configuration(offered)
        is_older = in_force is not None and offered.version <= in_force.version
        if not faults and not is_older:
            return offered
        if is_older and in_force is not None:
            if offered.version == in_force.version:
                return in_force
            faults = (ConfigurationFault('version', 'older than in force'),)
        self._report_refusal(offered, in_force, faults)
        return in_force

    def _report_refusal(
        self,
        offered: Configuration,
        in_force: Configuration | None,
        faults: tuple[ConfigurationFault, ...],
    ) -> None:
        if offered.version == self._refused_version:
            return
        self._refused_version = offered.version
        problem = '; '.join(
            f'{fault.subject}: {fault.problem}' for fault in faults
        )
        known_version = in_force.version if in_force else 0
        self._observe(
            ConfigurationRefused(offered.version, known_version, problem)
        )
