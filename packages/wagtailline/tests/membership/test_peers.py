"""Failed requests and corrupted frames of the membership messages."""

from random import Random

from result import Err, Ok

from wagtailline.codec import Codec
from wagtailline.membership import MEMBERSHIP_KINDS, LinkPeers, Member
from wagtailline.membership.messages import ProbeReply, UpdateBatch
from wagtailline.ports import Address
from wagtailline_lab.membership_fleet import run_fleet

_MEMBER = Member('e1', 'vm-1', 'dc1', Address('127.0.0.1', 7000), 5, 2)
_REPLY = ProbeReply(_MEMBER, _MEMBER, True, (), UpdateBatch((_MEMBER,)), 3)


class StubLinks:
    def __init__(self, outcome):
        self.outcome = outcome

    async def request(self, endpoint, message, reply, seconds):
        return self.outcome

    async def send(self, endpoint, message):
        return self.outcome

    def on_request(self, kind, responder):
        self.responder = responder


def test_a_failed_request_returns_none():
    async def request(outcome):
        peers = LinkPeers(StubLinks(outcome))
        await peers.post('e1', _REPLY)
        return await peers.request('e1', _REPLY, 1)

    assert run_fleet(request(Ok(_REPLY))) == _REPLY
    assert run_fleet(request(Err('unreachable'))) is None


def test_decoding_corrupted_frames_never_raises():
    """Frames come from other processes, which may send invalid ones."""
    codec = Codec(MEMBERSHIP_KINDS)
    frame = codec.encode(_REPLY)
    assert codec.decode(frame).unwrap() == _REPLY
    random = Random(1)
    for _ in range(2000):
        corrupted = bytearray(frame)
        corrupted[random.randrange(len(corrupted))] = random.randrange(256)
        decoded = codec.decode(bytes(corrupted))
        assert decoded.is_err() or isinstance(
            decoded.ok_value, tuple(MEMBERSHIP_KINDS.values())
        )
