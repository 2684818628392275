"""Guards the strict reading of the platform's list."""

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


def test_the_newest_of_two_vms_at_one_endpoint_counts():
    """During a replacement the platform lists both."""
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
def test_a_faulty_list_is_refused_as_a_whole(content):
    """A half-read list would drop members that are listed after a fault."""
    valid = json.loads(json.dumps(_VM))
    refused = parse_vm_list(content, 'osl1')
    assert isinstance(refused, Err)
    assert refused.err_value
    assert parse_vm_list(json.dumps([valid]).encode(), 'osl1').is_ok()
