"""Choice between the configuration in force and one that is offered."""

from collections.abc import Callable
from typing import NamedTuple

from wagtailline_sidecar.checks import ConfigurationFault, check_configuration
from wagtailline_sidecar.model import Configuration
from wagtailline_sidecar.source_revision import (
    NO_VERSION,
    ConfigurationVersion,
)


class ConfigurationRefused(NamedTuple):
    """Event: a published configuration was rejected and not applied.

    ``era`` is that of the source which holds it, ``in_force`` the version that
    stays in force.
    """

    version: int
    era: int
    in_force: int
    problem: str


class ConfigurationSelector:
    """Selector of configurations, which refuses faulty and older ones."""

    def __init__(self, observe: Callable[[NamedTuple], None]) -> None:
        """Set up a selector that reports each refused version once."""
        self._observe = observe
        self._refused: ConfigurationVersion = NO_VERSION
        self._compared: Configuration | None = None

    def select(
        self,
        in_force: Configuration | None,
        offered: Configuration | None,
        *,
        may_go_back: bool = False,
        keeps_era: bool = False,
    ) -> Configuration | None:
        """Return the configuration to use: the offered one if it is sound.

        With ``may_go_back``, one of a later era may have a lower version. With
        ``keeps_era``, one of an earlier era is not used, whatever its version.
        """
        if offered is None or offered is in_force:
            return in_force
        if in_force is not None:
            goes_back = may_go_back and offered.era > in_force.era
            is_older = offered.order <= in_force.order and not goes_back
            is_outdated = keeps_era and offered.era < in_force.era
            if is_older or is_outdated:
                self._report_older(offered, in_force)
                return in_force
        faults = check_configuration(offered)
        if not faults:
            return offered
        self._report_refusal(offered, in_force, faults)
        return in_force

    def _report_older(
        self, offered: Configuration, in_force: Configuration
    ) -> None:
        problem = 'older than in force'
        if offered.order == in_force.order:
            if offered is self._compared:
                return
            self._compared = offered
            if _has_same_content(offered, in_force):
                return
            problem = 'other content than in force'
        fault = ConfigurationFault('version', problem)
        self._report_refusal(offered, in_force, (fault,))

    def _report_refusal(
        self,
        offered: Configuration,
        in_force: Configuration | None,
        faults: tuple[ConfigurationFault, ...],
    ) -> None:
        if offered.order == self._refused:
            return
        self._refused = offered.order
        problem = '; '.join(
            f'{fault.subject}: {fault.problem}' for fault in faults
        )
        known_version = in_force.version if in_force else 0
        self._observe(
            ConfigurationRefused(
                offered.version, offered.era, known_version, problem
            )
        )


def _has_same_content(one: Configuration, other: Configuration) -> bool:
    """Return whether two configurations agree; routes have no order."""
    return one._replace(routes=()) == other._replace(routes=()) and (
        {route.name: route for route in one.routes}
        == {route.name: route for route in other.routes}
    )
