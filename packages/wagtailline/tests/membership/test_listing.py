"""Parsing of the platform's list of vms."""

import json

import pytest
from result import Err

from wagtailline.membership import parse_vm_list

_VM = {
    'vm': 'vm-1',
    'endpoint': 'desk-1',
    'data_centre': 'osl1',
    'host': '127.0.0.1',
    'port': 7000,
    'incarnation': 5,
    'leaving': False,
}


def test_the_newest_of_two_vms_at_one_endpoint_is_returned():
    """During a replacement the platform lists both vms of an endpoint."""
    newer = {**_VM, 'vm': 'vm-2', 'incarnation': 6}
    content = json.dumps([newer, _VM]).encode()
    (member,) = parse_vm_list(content, 'osl1').unwrap()
    assert (member.vm, member.incarnation) == ('vm-2', 6)


@pytest.mark.parametrize(
    'content',
    [
        b'{',
        b'{}',
        b'[1]',
        json.dumps([{**_VM, 'port': '7000'}]).encode(),
        json.dumps([{**_VM, 'port': 0}]).encode(),
        json.dumps([{**_VM, 'extra': 1}]).encode(),
        json.dumps([{**_VM, 'data_centre': 'osl2'}]).encode(),
        json.dumps([{**_VM, 'incarnation': -1}]).encode(),
        json.dumps([{'vm': 'vm-1'}]).encode(),
    ],
)
def test_an_invalid_entry_makes_the_whole_list_invalid(content):
    """A partly parsed list would lack the members after the invalid entry."""
    valid = json.loads(json.dumps(_VM))
    refused = parse_vm_list(content, 'osl1')
    assert isinstance(refused, Err)
    assert refused.err_value
    assert parse_vm_list(json.dumps([valid]).encode(), 'osl1').is_ok()
