"""Types and parsing of the objects that operators publish as a set."""

from collections.abc import Mapping
from typing import Annotated, NamedTuple

from msgspec import Meta
from result import Err, Ok, Result

from wagtailline.records import FieldFault, NotAnObject, parse_record

Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')]
Prefix = Annotated[str, Meta(pattern='^/', max_length=512)]
DigestHex = Annotated[str, Meta(pattern='^[0-9a-f]{64}$')]


class DataCentre(NamedTuple):
    """A data centre; it receives no new requests while out of service."""

    name: Name
    region: Name
    in_service: bool = True


class Service(NamedTuple):
    """A named group of endpoints, the target of routes."""

    name: Name


class Endpoint(NamedTuple):
    """The stable position of one upstream of a service.

    Its name stays the same when the upstream restarts or is replaced.
    ``slots`` is the number of requests that it runs at once, ``connections``
    the number of TCP connections that it accepts.
    """

    name: Name
    service: Name
    data_centre: Name
    slots: Annotated[int, Meta(ge=1, le=4096)]
    connections: Annotated[int, Meta(ge=1, le=65536)]
    in_service: bool = True


class Route(NamedTuple):
    """A rule that sends requests below a path prefix to a service.

    An open route needs no key, and ``limit`` bounds its rate. Any other route
    admits the client accounts listed, or all of them if the list is empty.
    """

    name: Name
    prefix: Prefix
    service: Name
    open: bool = False
    limit: Name | None = None
    client_accounts: tuple[Name, ...] = ()
    timeout_ms: Annotated[int, Meta(ge=1, le=600_000)] = 10_000


class ClientAccount(NamedTuple):
    """A tenant; its limit applies to the whole fleet together."""

    name: Name
    limit: Name
    weight: Annotated[int, Meta(ge=1, le=100)] = 1


class Key(NamedTuple):
    """A key of a client account, stored as its BLAKE2b-256 digest in hex."""

    name: Name
    client_account: Name
    digest: DigestHex


class Limit(NamedTuple):
    """A rate in requests per second and a burst in requests.

    ``shares`` divide both among data centres and sum to at most one. Without
    shares, they are divided equally.
    """

    name: Name
    rate: Annotated[float, Meta(gt=0, le=10_000_000)]
    burst: Annotated[int, Meta(ge=1, le=10_000_000)]
    shares: dict[str, Annotated[float, Meta(gt=0, le=1)]] = {}


PublishedObject = (
    DataCentre | Service | Endpoint | Route | ClientAccount | Key | Limit
)
ObjectId = tuple[str, str]
ObjectMap = Mapping[ObjectId, PublishedObject]

KINDS: dict[str, type[PublishedObject]] = {
    'data_centres': DataCentre,
    'services': Service,
    'endpoints': Endpoint,
    'routes': Route,
    'client_accounts': ClientAccount,
    'keys': Key,
    'limits': Limit,
}
KIND_NAMES: dict[type[PublishedObject], str] = {
    kind: name for name, kind in KINDS.items()
}


class UnknownKind(NamedTuple):
    """A section of the set has a name that is not a kind of object."""

    kind: str


class DuplicateObject(NamedTuple):
    """Two objects of one kind have the same name."""

    kind: str
    name: str


ParseFault = FieldFault | UnknownKind | DuplicateObject


def object_id(published: PublishedObject) -> ObjectId:
    """Return the kind and name that identify an object within a set."""
    return KIND_NAMES[type(published)], published.name


def parse_objects(
    raw: object,
) -> Result[dict[ObjectId, PublishedObject], tuple[ParseFault, ...]]:
    """Return the objects in a set of decoded JSON, or all of its faults.

    The set has one section for each kind, a list of objects.
    """
    if not isinstance(raw, Mapping):
        return Err((NotAnObject('set'),))
    faults: list[ParseFault] = []
    objects: dict[ObjectId, PublishedObject] = {}
    for kind, section in raw.items():
        if kind in KINDS and isinstance(section, list):
            faults.extend(_parse_section(kind, section, objects))
        elif kind in KINDS:
            faults.append(NotAnObject(kind))
        else:
            faults.append(UnknownKind(str(kind)))
    return Err(tuple(faults)) if faults else Ok(objects)


def _parse_section(
    kind: str, section: list[object], objects: dict[ObjectId, PublishedObject]
) -> list[ParseFault]:
    faults: list[ParseFault] = []
    for index, raw in enumerate(section):
        parsed: Result[PublishedObject, tuple[FieldFault, ...]] = parse_record(
            KINDS[kind], raw, _locate(kind, index, raw)
        )
        match parsed:
            case Ok(published):
                identity = object_id(published)
                if identity in objects:
                    faults.append(DuplicateObject(*identity))
                objects[identity] = published
            case Err(found):
                faults.extend(found)
    return faults


def _locate(kind: str, index: int, raw: object) -> str:
    if isinstance(raw, Mapping) and isinstance(raw.get('name'), str):
        return f'{kind}/{raw["name"]}'
    return f'{kind}[{index}]'
