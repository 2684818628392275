"""Guards the use of control links: a failure must look like no answer."""

from random import Random

from result import Err, Ok

from wagtailline.codec import Codec
from wagtailline.membership import MEMBERSHIP_KINDS, LinkPeers, Member
from wagtailline.membership.messages import ProbeReply, UpdateBatch
from wagtailline.ports import Address
from wagtailline_lab.membership_fleet import run_fleet

_MEMBER = Member('e1', 'vm-1', 'dc1', Address('127.0.0.1', 7000), 5, 2)
_REPLY = ProbeReply(_MEMBER, _MEMBER, True, (), UpdateBatch((_MEMBER,)), 3)


class Links:
    def __init__(self, answer):
        self.answer = answer

    async def request(self, endpoint, message, reply, seconds):
        return self.answer

    async def send(self, endpoint, message):
        return self.answer

    def on_request(self, kind, responder):
        self.responder = responder


def test_a_failed_request_is_no_reply():
    async def ask(answer):
        peers = LinkPeers(Links(answer))
        await peers.post('e1', _REPLY)
        return await peers.request('e1', _REPLY, 1)

    assert run_fleet(ask(Ok(_REPLY))) == _REPLY
    assert run_fleet(ask(Err('unreachable'))) is None


def test_frames_with_bytes_changed_never_raise():
    """Statements come from other processes, which may be faulty."""
    codec = Codec(MEMBERSHIP_KINDS)
    frame = codec.encode(_REPLY)
    assert codec.decode(frame).unwrap() == _REPLY
    random = Random(1)
    for _ in range(2000):
        broken = bytearray(frame)
        broken[random.randrange(len(broken))] = random.randrange(256)
        decoded = codec.decode(bytes(broken))
        assert decoded.is_err() or isinstance(
            decoded.ok_value, tuple(MEMBERSHIP_KINDS.values())
        )
