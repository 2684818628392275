"""Registry through which the services of a process find each other."""

from typing import NamedTuple, Protocol, TypeVar

from result import Err, Ok, Result


class Service(Protocol):
    """Part of a process that is started and stopped."""

    async def start(self) -> None:
        """Start the service, which may look up other services here."""

    async def stop(self) -> None:
        """Stop all work of the service."""


class ServiceMissing(NamedTuple):
    """No service is registered under this name."""

    name: str


class ServiceTypeMismatch(NamedTuple):
    """The service under this name is of another type."""

    name: str
    expected: str


class DuplicateServiceError(Exception):
    """A service is already registered under this name."""


LookupFailure = ServiceMissing | ServiceTypeMismatch
_ServiceType = TypeVar('_ServiceType')


class ServiceRegistry:
    """Registry of services, started in order and stopped in reverse order."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._services: dict[str, object] = {}
        self._started: list[Service] = []

    def register(self, name: str, service: object) -> None:
        """Add a service; raise DuplicateServiceError if the name is taken."""
        if name in self._services:
            raise DuplicateServiceError(name)
        self._services[name] = service

    def find(
        self, name: str, service_type: type[_ServiceType]
    ) -> Result[_ServiceType, LookupFailure]:
        """Return the service under this name if it is of the given type."""
        if name not in self._services:
            return Err(ServiceMissing(name))
        service = self._services[name]
        if not isinstance(service, service_type):
            return Err(ServiceTypeMismatch(name, service_type.__name__))
        return Ok(service)

    def names(self) -> tuple[str, ...]:
        """Return the names in the order of registration."""
        return tuple(self._services)

    async def start(self) -> None:
        """Start the services with ``start`` and ``stop`` methods, in order."""
        for service in self._services.values():
            if hasattr(service, 'start') and hasattr(service, 'stop'):
                await service.start()
                self._started.append(service)

    async def stop(self) -> None:
        """Stop the services that were started, in reverse order."""
        while self._started:
            await self._started.pop().stop()
