"""Micro-kernel: services that find each other by name."""

from typing import NamedTuple, Protocol, TypeVar

from result import Err, Ok, Result


class Service(Protocol):
    """A part of a process with a start and a stop."""

    async def start(self) -> None:
        """Begin to work; other services may be looked up here."""

    async def stop(self) -> None:
        """End all work of this service."""


class ServiceMissing(NamedTuple):
    """No service has this name."""

    name: str


class ServiceTypeMismatch(NamedTuple):
    """The service of this name is of another type."""

    name: str
    expected: str


class DuplicateServiceError(Exception):
    """Two services claim one name."""


LookupFailure = ServiceMissing | ServiceTypeMismatch
_Found = TypeVar('_Found')


class Kernel:
    """Registry of services, started in order and stopped in reverse."""

    def __init__(self) -> None:
        """Begin without services."""
        self._services: dict[str, object] = {}
        self._started: list[Service] = []

    def register(self, name: str, service: object) -> None:
        """Add a service; raise DuplicateServiceError for a taken name."""
        if name in self._services:
            raise DuplicateServiceError(name)
        self._services[name] = service

    def find(
        self, name: str, kind: type[_Found]
    ) -> Result[_Found, LookupFailure]:
        """Return the service of this name if it is of the given type."""
        if name not in self._services:
            return Err(ServiceMissing(name))
        service = self._services[name]
        if not isinstance(service, kind):
            return Err(ServiceTypeMismatch(name, kind.__name__))
        return Ok(service)

    def names(self) -> tuple[str, ...]:
        """Return the names in the order of registration."""
        return tuple(self._services)

    async def start(self) -> None:
        """Start the services that have a start, in order."""
        for service in self._services.values():
            if hasattr(service, 'start') and hasattr(service, 'stop'):
                await service.start()
                self._started.append(service)

    async def stop(self) -> None:
        """Stop what was started, in reverse order."""
        while self._started:
            await self._started.pop().stop()
