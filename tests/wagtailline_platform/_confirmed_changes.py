"""Operator and oracle of routes that the store has acknowledged.

The operator publishes one route more with each version. The oracle asks every
daemon for each new route some time after its acknowledgement, and counts the
answers that only an older version allows.
"""

import asyncio
import math
import signal
from collections import Counter
from typing import NamedTuple

from _daemons import Fleet, Vm, make_configuration, send_request

from wagtailline.placement import rank_nodes

DATA_CENTRES = ('oslo-a', 'oslo-b', 'oslo-c')
# Bounds of the users' platform: from the acknowledgement of a change, and from
# a start, a freeze or a return of the store.
MAX_CHANGE_SECONDS = 2.0
CONTACT_SECONDS = 3.0
CHECK_AGES_SECONDS = (2.1, 4.1, 8.1)
PUBLISH_PERIOD_SECONDS = 0.5
AWAY_SECONDS = 0.7
OLDER_VERSION_STATUSES = frozenset((401, 403, 404))
_TOLD_EVENTS = (
    'era_changed',
    'configuration_refused',
    'source_conflict',
    'item_unreadable',
    'answer of era',
)


class Case(NamedTuple):
    """Request that was refused as only an older version allows."""

    vm: str
    data_centre: str
    version: int
    route: str
    age_seconds: float
    status: int


class Publication(NamedTuple):
    """Version in which the store acknowledged a route, and when."""

    version: int
    at: float


def now() -> float:
    return asyncio.get_running_loop().time()


class RouteOperator:
    """Operator who publishes one route more with each version."""

    def __init__(self, platform) -> None:
        self.platform = platform
        self.version = 1
        self.routes: dict[str, dict] = {}
        self.versions: list[dict] = []
        # Routes that the store holds, by name.
        self.acknowledged: dict[str, Publication] = {}

    def add_route(self) -> None:
        name = f'n{len(self.versions)}'
        status_route = make_configuration()['routes']['status']
        self.routes[name] = {**status_route, 'prefix': f'/{name}/'}
        self.publish()

    def publish(self) -> None:
        """Publish the routes as the next version."""
        self.version += 1
        routes = {**make_configuration()['routes'], **self.routes}
        configuration = make_configuration(self.version, routes=routes)
        self.versions.append(configuration)
        self.write(configuration)

    def write_again(self) -> None:
        self.write(self.versions[-1])

    def write(self, configuration: dict) -> None:
        """Write a version; its routes are acknowledged at once."""
        self.platform.put('op/config', configuration)
        held = self.routes.keys() & configuration['routes'].keys()
        publication = Publication(configuration['version'], now())
        self.acknowledged = {
            name: self.acknowledged.get(name, publication) for name in held
        }

    def go_back_with_copy(self) -> None:
        """Go on from the version that the store holds."""
        self.version = max(
            publication.version for publication in self.acknowledged.values()
        )

    def lose_versions_since(self, copied_at: float) -> None:
        """Forget the acknowledgements that the copy does not have."""
        self.acknowledged = {
            name: publication
            for name, publication in self.acknowledged.items()
            if publication.at <= copied_at
        }


class Oracle:
    """Counter of the answers to requests of acknowledged routes."""

    def __init__(self, fleet: Fleet, operator: RouteOperator) -> None:
        self._fleet = fleet
        self._operator = operator
        self._excused_until: dict[str, float] = {}
        self._checks: list[asyncio.Task] = []
        self._watched: set[tuple[str, Publication]] = set()
        self.statuses: Counter[int] = Counter()
        self.cases: list[Case] = []

    def excuse(self, *vms: Vm, seconds: float = CONTACT_SECONDS) -> None:
        """Ask daemons for nothing until they have to be in touch again."""
        for vm in vms:
            known_end = self._excused_until.get(vm.name, 0)
            self._excused_until[vm.name] = max(known_end, now() + seconds)

    def excuse_no_longer(self, vm: Vm) -> None:
        """Let a daemon be in touch again, for which it has some time."""
        self._excused_until[vm.name] = now() + CONTACT_SECONDS

    def is_excused(self, vm: Vm) -> bool:
        return self._excused_until.get(vm.name, 0) > now()

    def watch(self) -> None:
        """Check the routes that were acknowledged since the last call."""
        for route in self._operator.acknowledged.items():
            if route not in self._watched:
                self._watched.add(route)
                self._checks.append(asyncio.create_task(self._follow(*route)))

    async def finish(self) -> None:
        """Wait for the first check of all routes; cancel the later ones."""
        await asyncio.sleep(CHECK_AGES_SECONDS[0] + 1)
        for check in self._checks:
            check.cancel()
        failures = await asyncio.gather(*self._checks, return_exceptions=True)
        for failure in failures:
            if isinstance(failure, Exception):
                raise failure

    async def _follow(self, route: str, publication: Publication) -> None:
        for age_seconds in CHECK_AGES_SECONDS:
            await asyncio.sleep(publication.at + age_seconds - now())
            if self._operator.acknowledged.get(route) != publication:
                return
            checks = (
                self._check(vm, route, publication, age_seconds)
                for vm in self._fleet.vms
                if not self.is_excused(vm)
            )
            await asyncio.gather(*checks)

    async def _check(
        self, vm: Vm, route: str, publication: Publication, age_seconds: float
    ) -> None:
        try:
            status, _, _ = await send_request(vm, f'/{route}/1')
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        self.statuses[status] += 1
        if status in OLDER_VERSION_STATUSES:
            version = publication.version
            self.cases.append(
                Case(
                    vm.name,
                    vm.data_centre,
                    version,
                    route,
                    age_seconds,
                    status,
                )
            )


class Trial:
    """Daemons, an operator and an oracle, with drills of the store."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.platform = fleet.platform
        self.operator = RouteOperator(fleet.platform)
        self.oracle = Oracle(fleet, self.operator)
        # Keys whose latest values the copy does not have.
        self.lost: list[str] = []

    async def publish_for(self, seconds: float) -> None:
        """Add a route in each period."""
        ends_at = now() + seconds
        while now() < ends_at:
            self.operator.add_route()
            self.oracle.watch()
            await asyncio.sleep(PUBLISH_PERIOD_SECONDS)

    async def return_store(self, age_seconds: float) -> None:
        """Let the store be away, and return from a copy; write nothing."""
        self.platform.leave()
        self.oracle.excuse(*self.fleet.vms)
        await asyncio.sleep(AWAY_SECONDS)
        self.operator.lose_versions_since(now() - age_seconds)
        self.lost = self.platform.return_from_copy(age_seconds)
        self.oracle.excuse(*self.fleet.vms)

    def write_again(self) -> None:
        self.operator.write_again()
        self.oracle.watch()

    def go_on(self, *, is_lower: bool) -> None:
        """Write again, or go back to the copy's version and its numbers."""
        if is_lower:
            self.operator.go_back_with_copy()
        else:
            self.write_again()
        self.register_lost()

    def register_all(self) -> None:
        for vm in self.fleet.vms:
            self.fleet.register(vm)

    def register_lost(self) -> None:
        for vm in self.fleet.vms:
            if f'servers/{vm.upstream.instance}' in self.lost:
                self.fleet.register(vm)

    async def restart(self, vm: Vm) -> None:
        vm.process.kill()
        await vm.process.wait()
        await vm.start_daemon()
        self.oracle.excuse(vm)

    def freeze(self, vm: Vm) -> None:
        self.oracle.excuse(vm, seconds=math.inf)
        vm.process.send_signal(signal.SIGSTOP)

    def thaw(self, vm: Vm) -> None:
        vm.process.send_signal(signal.SIGCONT)
        self.oracle.excuse_no_longer(vm)

    def cut_off(self, vm: Vm) -> None:
        """Refuse a daemon that has its own way to the store."""
        self.platform.refused_hosts.add(vm.host)
        self.oracle.excuse(vm, seconds=math.inf)

    def connect(self, vm: Vm) -> None:
        self.platform.refused_hosts.discard(vm.host)
        self.oracle.excuse_no_longer(vm)

    def find_reader(self, data_centre: str) -> Vm:
        """Return the VM whose daemon reads for its data centre."""
        return self.rank_vms(data_centre)[0]

    def rank_vms(self, data_centre: str) -> list[Vm]:
        """Return the VMs of a data centre, the one that reads for it first."""
        vms = {
            vm.host: vm
            for vm in self.fleet.vms
            if vm.data_centre == data_centre
        }
        return [vms[host] for host in rank_nodes(data_centre, set(vms))]


def describe(trial: Trial) -> str:
    """Return the figures of a trial, its cases and what the logs say."""
    oracle = trial.oracle
    vms = {case.vm for case in oracle.cases}
    data_centres = {case.data_centre for case in oracle.cases}
    asked = oracle.statuses.total()
    figures = (
        f'{len(oracle.cases)} cases of {asked}, {dict(oracle.statuses)}, '
        f'on {len(vms)} daemons in {sorted(data_centres)}'
    )
    return '\n'.join((figures, *map(str, oracle.cases), *_list_events(trial)))


def _list_events(trial: Trial) -> list[str]:
    return [
        f'{vm.name} {vm.data_centre} {line}'
        for vm in trial.fleet.vms
        for line in vm.log.read_text().splitlines()
        if any(event in line for event in _TOLD_EVENTS)
    ]
