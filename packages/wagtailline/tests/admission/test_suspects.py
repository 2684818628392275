"""Tests the isolation and blocking of requests that crash upstreams."""

import asyncio
from random import Random

from result import Ok

from wagtailline.admission import (
    ADMISSION_KINDS,
    Answered,
    Cancelled,
    ConnectionRefused,
    Gate,
    GateIdentity,
    ResetBeforeFirstByte,
    SuspectBlocked,
    SuspectNotice,
    Ticket,
    TimedOut,
    UpstreamDown,
)
from wagtailline.admission._suspects import SuspectTable
from wagtailline.codec import Codec
from wagtailline.ports import LoopClock
from wagtailline_lab.upstream_model import (
    UpstreamModel,
    UpstreamRequest,
    UpstreamSettings,
)
from wagtailline_lab.virtual import run_virtual

_NOTICE_DELAY_SECONDS = 0.0015


class ServiceGates:
    """Gates of one service that send each other notices of suspects."""

    def __init__(self, size):
        loop = asyncio.get_running_loop()
        self.models = [
            UpstreamModel(Random(index), UpstreamSettings(), warm=True)
            for index in range(size)
        ]
        self.gates = []
        for index in range(size):

            def send_notice(notice, sender=index):
                for peer, gate in enumerate(self.gates):
                    if peer != sender:
                        loop.call_later(
                            _NOTICE_DELAY_SECONDS, gate.apply_notice, notice
                        )

            identity = GateIdentity(f'e{index}', 1)
            self.gates.append(
                Gate(
                    identity,
                    6,
                    LoopClock(0),
                    Random(index),
                    on_notice=send_notice,
                )
            )

    async def send(self, index, name, poison=False):
        now = asyncio.get_running_loop().time()
        ticket = Ticket('a', 1, now + 3, name.encode())
        match await self.gates[index].admit(ticket):
            case Ok(slot):
                outcome = Cancelled()
                try:
                    outcome = await self.models[index].send(
                        UpstreamRequest(name, poison=poison)
                    )
                finally:
                    slot.release(outcome)
                return outcome
            case refused:
                return refused.err_value

    def count_crashes(self):
        return sum(model.crashes for model in self.models)


def test_poison_crashes_two_upstreams_and_the_others_continue():
    """A request that crashes upstreams is resent to one after another.

    An immediate resend may reach the second gate before the notice of the
    first one. No third upstream may crash, and no other request be blocked.
    """

    async def scenario():
        service = ServiceGates(12)
        failed = []

        async def send_steadily(index):
            for number in range(400):
                outcome = await service.send(index, f'harmless-{number % 7}')
                if not isinstance(outcome, Answered):
                    failed.append((index, outcome))
                await asyncio.sleep(0.01)

        load = [
            asyncio.create_task(send_steadily(index)) for index in range(12)
        ]
        await asyncio.sleep(1)
        outcomes = [
            await service.send(number % 12, 'poison', poison=True)
            for number in range(60)
        ]
        assert service.count_crashes() == 2
        refused = (SuspectBlocked, UpstreamDown)
        assert all(isinstance(outcome, refused) for outcome in outcomes[2:])
        await asyncio.gather(*load)
        # Requests failed only at gates whose upstream crashed.
        crashed = {
            index for index, model in enumerate(service.models) if model.crashes
        }
        assert {index for index, _ in failed} <= crashed
        # After the crashes, every gate admits the same requests again.
        for index in range(12):
            for number in range(7):
                repeated = await service.send(index, f'harmless-{number}')
                assert isinstance(repeated, Answered)

    run_virtual(scenario())


def test_block_doubles_and_ends():
    """A request must not be blocked for ever, nor by a repeated notice."""

    table = SuspectTable()
    table.note(SuspectNotice('e0', 1, 1, (b'x',)), 0)
    assert table.find(b'x', 0).blocked_until == 0
    for _ in range(2):
        table.note(SuspectNotice('e1', 1, 1, (b'x',)), 10)
    assert table.find(b'x', 10).blocked_until == 70
    table.note(SuspectNotice('e1', 1, 2, (b'x',)), 100)
    assert table.find(b'x', 100).blocked_until == 220
    for crash in range(3, 30):
        table.note(SuspectNotice('e1', 1, crash, (b'x',)), 200)
    assert table.find(b'x', 200).blocked_until == 3800
    assert table.find(b'x', 200 + 7201) is None


def test_table_is_bounded_and_keeps_blocked_requests():
    """Many suspects must neither fill the memory nor lift a block."""

    table = SuspectTable(capacity=4)
    for crash in (1, 2):
        table.note(SuspectNotice('e0', 1, crash, (b'bad',)), 0)
    for number in range(20):
        table.note(SuspectNotice('e1', 1, number, (bytes([number]),)), 1)
    assert len(table) == 4
    assert table.find(b'bad', 1).blocked_until == 60


def test_reset_of_an_idle_connection_is_no_crash():
    """The upstream may close a connection because it was idle.

    Taken for a crash, this would make any request a suspect.
    """

    async def scenario():
        notices = []
        gate = Gate(
            GateIdentity('e0', 1),
            6,
            LoopClock(0),
            Random(1),
            on_notice=notices.append,
        )

        async def send(fingerprint, *outcomes):
            ticket = Ticket('a', 1, 1e9, fingerprint)
            for outcome in outcomes:
                slot = (await gate.admit(ticket)).ok_value
                await asyncio.sleep(0.01)
                slot.release(outcome)

        idle = ResetBeforeFirstByte(reused_connection=True)
        await send(b'x', *[Answered(0.01, 200)] * 9, idle, TimedOut())
        assert notices == []
        await send(b'x', ResetBeforeFirstByte())
        assert [notice.fingerprints for notice in notices] == [(b'x',)]
        await send(b'x', Answered(0.01, 200))
        assert notices[-1].cleared
        await send(b'x', ResetBeforeFirstByte())
        assert not notices[-1].cleared

    run_virtual(scenario())


def test_request_cancelled_before_the_crash_is_a_suspect():
    """A caller may cancel a request before it crashes the upstream.

    Not counted, it could crash one upstream after another without end.
    """

    async def scenario():
        notices = []
        gate = Gate(
            GateIdentity('e0', 1),
            6,
            LoopClock(0),
            Random(1),
            on_notice=notices.append,
        )
        slot = (await gate.admit(Ticket('a', 1, 9, b'poison'))).ok_value
        slot.release(Cancelled())
        slot = (await gate.admit(Ticket('a', 1, 9, b'other'))).ok_value
        slot.release(ConnectionRefused())
        assert [notice.fingerprints for notice in notices] == [(b'poison',)]

    run_virtual(scenario())


def test_suspect_runs_alone_for_a_bounded_time():
    """A slow suspect must not keep other requests waiting until it ends."""

    async def scenario():
        service = ServiceGates(1)
        [gate], [model] = service.gates, service.models
        for number in range(200):
            await service.send(0, str(number))
        gate.apply_notice(SuspectNotice('e9', 1, 1, (b'slow',)))
        trial = asyncio.create_task(gate.admit(Ticket('a', 1, 1e9, b'slow')))
        slot = (await trial).ok_value
        other = asyncio.create_task(service.send(0, 'other'))
        await asyncio.sleep(0.9)
        assert not other.done()
        assert isinstance(await other, Answered)
        slot.release(Answered(2, 200))
        assert isinstance(await service.send(0, 'slow'), Answered)
        assert model.executions['slow'] == 1

    run_virtual(scenario())


def test_notice_is_encoded_and_its_bounds_are_checked():
    """A peer must not fill the table with oversized notices."""

    codec = Codec(ADMISSION_KINDS)
    notice = SuspectNotice('e0', 1, 3, (b'a' * 32,), cleared=True)
    assert codec.decode(codec.encode(notice)) == Ok(notice)
    for invalid in ((b'',), (b'a' * 65,), (b'a',) * 65):
        frame = codec.encode(notice._replace(fingerprints=invalid))
        assert codec.decode(frame).is_err()
