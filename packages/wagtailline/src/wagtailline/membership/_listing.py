"""Parser of the platform's list of vms."""

import json
from typing import Annotated, NamedTuple

from msgspec import Meta
from result import Err, Ok, Result

from wagtailline.membership._members import Member
from wagtailline.objects import Name
from wagtailline.ports import Address
from wagtailline.records import FieldFault, FieldInvalid, parse_record

VM_LIST_KEY = 'vms/{0}'
# Below the first sequence of a vm's own statements, which is zero.
LISTED_SEQUENCE = -1


class ListMalformed(NamedTuple):
    """A list that is not a JSON array."""

    problem: str


ListFault = FieldFault | ListMalformed


class ListedVm(NamedTuple):
    """One entry of the platform's list of vms.

    ``incarnation`` is its start time in milliseconds since the Unix epoch,
    zero when the platform does not know it.
    """

    vm: Annotated[str, Meta(min_length=1, max_length=255)]
    endpoint: Name
    data_centre: Name
    host: Annotated[str, Meta(min_length=1, max_length=45)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    incarnation: Annotated[int, Meta(ge=0, lt=2**53)]
    leaving: bool


def parse_vm_list(
    content: bytes, data_centre: str
) -> Result[tuple[Member, ...], tuple[ListFault, ...]]:
    """Return the newest listed vm of each endpoint, or all faults.

    During a replacement both vms of an endpoint may be listed.
    """
    try:
        raw = json.loads(content)
    except ValueError as problem:
        return Err((ListMalformed(str(problem)),))
    if not isinstance(raw, list):
        return Err((ListMalformed('not an array'),))
    faults: list[ListFault] = []
    newest: dict[str, ListedVm] = {}
    for index, raw_vm in enumerate(raw):
        match _parse_vm(raw_vm, f'{VM_LIST_KEY.format(data_centre)}[{index}]'):
            case Ok(listed) if listed.data_centre == data_centre:
                _keep_newest(newest, listed)
            case Ok(listed):
                faults.append(_misplaced(data_centre, index, listed))
            case Err(found):
                faults.extend(found)
    if faults:
        return Err(tuple(faults))
    return Ok(tuple(_to_member(listed) for listed in newest.values()))


def _parse_vm(
    raw: object, where: str
) -> Result[ListedVm, tuple[FieldFault, ...]]:
    return parse_record(ListedVm, raw, where)


def _keep_newest(newest: dict[str, ListedVm], listed: ListedVm) -> None:
    known = newest.get(listed.endpoint)
    order = (listed.incarnation, listed.vm)
    if known is None or order > (known.incarnation, known.vm):
        newest[listed.endpoint] = listed


def _misplaced(data_centre: str, index: int, listed: ListedVm) -> FieldInvalid:
    return FieldInvalid(
        f'{VM_LIST_KEY.format(data_centre)}[{index}]',
        'data_centre',
        f'is {listed.data_centre}',
    )


def _to_member(listed: ListedVm) -> Member:
    return Member(
        listed.endpoint,
        listed.vm,
        listed.data_centre,
        Address(listed.host, listed.port),
        listed.incarnation,
        LISTED_SEQUENCE,
        listed.leaving,
    )
