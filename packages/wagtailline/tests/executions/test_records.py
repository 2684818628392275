"""Tests that a request with an idempotency key runs at most once."""

from uuid import UUID

import pytest

from wagtailline.executions import (
    AnswerAgain,
    ExecutionRecords,
    ExecutionSettings,
    InProgress,
    Instant,
    KeyReused,
    NotRunReason,
    OutcomeUnknown,
    Ownership,
    RefusedNotRun,
    Run,
    StoredAnswer,
    UnknownReason,
    parse_key_time,
    placement_key,
)
from wagtailline.placement import find_owner

_EPOCH = 1_700_000_000.0
_ANSWER = StoredAnswer(201, ((b'a', b'b'),), b'done')
_TEST_START = 100.0


def make_key(at: float, number: int = 0) -> str:
    """Return a UUID of version 7 created some seconds after the epoch."""
    milliseconds = round((_EPOCH + at) * 1000)
    return str(UUID(int=(milliseconds << 80) | 0x7 << 76 | 1 << 63 | number))


def instant(at: float) -> Instant:
    return Instant(at, _EPOCH + at)


class Position:
    """Records of the only position of a service, in service since 0 s.

    At 100 s, when the tests begin, only keys created before 14 s are
    unknown because of that takeover.
    """

    def __init__(self, **settings):
        self.ownership = Ownership('here')
        self.ownership.replace_positions(['here'], instant(0))
        self.records = ExecutionRecords(
            self.ownership, ExecutionSettings(**settings)
        )

    def begin(self, key, at=_TEST_START, account='studio', body=b'1'):
        self.records.confirm(instant(at))
        return self.records.begin(account, key, body, instant(at))

    def finish(self, key, at=_TEST_START, answer=_ANSWER):
        with self.begin(key, at).execution as execution:
            execution.mark_sent()
            execution.complete(answer)


def test_resend_gets_the_first_answer():
    position = Position()
    key = make_key(99)
    run = position.begin(key)
    assert isinstance(run, Run)
    waiting = position.begin(key)
    assert isinstance(waiting, InProgress)
    assert not waiting.ended.is_set()
    run.execution.mark_sent()
    run.execution.complete(_ANSWER)
    run.execution.close()
    assert waiting.ended.is_set()
    assert position.begin(key) == AnswerAgain(_ANSWER)
    assert position.begin(key, body=b'2') == KeyReused()
    assert isinstance(position.begin(key, account='other'), Run)


def test_run_that_was_sent_and_lost_never_runs_again():
    position = Position()
    with position.begin(make_key(99)).execution as execution:
        execution.mark_sent()
    assert position.begin(make_key(99)) == OutcomeUnknown(
        UnknownReason.ENDED_WITHOUT_ANSWER
    )


@pytest.mark.parametrize('sent', [False, True])
def test_run_that_never_began_may_run(sent):
    """Guards against a request that is lost after a refused connection.

    If it counted as run, no resend would ever run it.
    """
    position = Position()
    with position.begin(make_key(99)).execution as execution:
        if sent:
            execution.mark_sent()
            execution.mark_not_sent()
    assert isinstance(position.begin(make_key(99)), Run)


def test_key_older_than_the_takeover_is_unknown():
    """Guards against a second run after a takeover or a restart.

    The former owner may have run a key of which this gate has no record.
    """
    position = Position()
    unknown = OutcomeUnknown(UnknownReason.BEFORE_TAKEOVER)
    assert position.begin(make_key(13.9)) == unknown
    assert isinstance(position.begin(make_key(14.1)), Run)
    restarted = Position()
    restarted.ownership = Ownership('here')
    restarted.ownership.replace_positions(['here'], instant(200))
    restarted.records = ExecutionRecords(restarted.ownership)
    assert restarted.begin(make_key(199), at=201) == unknown


def test_only_keys_that_moved_become_unknown():
    """Guards against records that become invalid for keys that did not move.

    It would come about if any change of the position set, such as the removal
    of another position, counted as a takeover.
    """
    position = Position()
    position.ownership.replace_positions(['here', 'there'], instant(0.5))
    keys = [make_key(95, number) for number in range(64)]
    placed = {key: placement_key('studio', key) for key in keys}
    kept = [
        key
        for key in keys
        if find_owner(placed[key], ['here', 'there']) == 'here'
    ]
    moved = [key for key in keys if key not in kept]
    assert kept and moved
    position.finish(kept[0])
    assert position.begin(moved[0]) == RefusedNotRun(
        NotRunReason.NOT_OWNER, earlier_unknown=True
    )
    position.ownership.replace_positions(['here'], instant(101))
    assert position.begin(kept[0], at=102) == AnswerAgain(_ANSWER)
    assert isinstance(position.begin(kept[1], at=102), Run)
    assert isinstance(position.begin(moved[0], at=102), OutcomeUnknown)
    position.ownership.replace_positions([], instant(103))
    position.ownership.replace_positions(['here'], instant(104))
    assert isinstance(position.begin(kept[2], at=105), OutcomeUnknown)


def test_stale_snapshot_runs_nothing():
    """Guards against a former owner that runs keys after a takeover.

    Cut off from new snapshots, it does not learn of the takeover. The wall
    clock shows this even if the monotonic clock stops.
    """
    position = Position()
    position.finish(make_key(99))
    for at in (instant(110.1), Instant(100.5, _EPOCH + 110.1)):
        begun = position.records.begin('studio', make_key(100), b'1', at)
        assert begun == RefusedNotRun(
            NotRunReason.SNAPSHOT_STALE, earlier_unknown=True
        )
        known = position.records.begin('studio', make_key(99), b'1', at)
        assert known == AnswerAgain(_ANSWER)


def test_key_ahead_of_the_clock_is_refused():
    """Guards against a second run of a key with a time in the future.

    It could run before a takeover and yet seem to be created after it.
    """
    begun = Position().begin(make_key(102.5))
    assert begun == RefusedNotRun(NotRunReason.KEY_FROM_FUTURE)


def test_key_without_time_waits_for_the_resend_window():
    position = Position()
    unknown = OutcomeUnknown(UnknownReason.NO_KEY_TIME)
    assert position.begin('order-1', at=613) == unknown
    position.finish('order-1', at=615)
    assert position.begin('order-1', at=616) == AnswerAgain(_ANSWER)


def test_evicted_key_is_unknown():
    """Guards against a second run of a key whose record was evicted."""
    position = Position(max_records_per_account=3)
    for number in range(4):
        position.finish(make_key(90 + number))
    assert len(position.records) == 3
    evicted = OutcomeUnknown(UnknownReason.RECORD_EVICTED)
    assert position.begin(make_key(90)) == evicted
    assert position.begin(make_key(93)) == AnswerAgain(_ANSWER)
    assert isinstance(position.begin(make_key(90), account='other'), Run)


def test_evicted_key_without_time_is_unknown():
    position = Position(max_records_per_account=1)
    position.finish('order-1', at=700)
    position.finish(make_key(700), at=701)
    unknown = OutcomeUnknown(UnknownReason.NO_KEY_TIME)
    assert position.begin('order-1', at=702) == unknown
    assert isinstance(position.begin('order-2', at=1302), Run)


def test_eviction_times_outlive_their_account():
    position = Position(max_accounts=1)
    position.finish(make_key(90))
    assert isinstance(position.begin(make_key(95), account='other'), Run)
    assert isinstance(position.begin(make_key(90)), OutcomeUnknown)
    assert len(position.records) == 1
    full = RefusedNotRun(NotRunReason.RECORDS_FULL)
    assert position.begin(make_key(96)) == full


def test_executions_in_progress_are_never_evicted():
    position = Position(max_records=2)
    outcomes = [position.begin(make_key(90 + number)) for number in range(2)]
    assert all(isinstance(outcome, Run) for outcome in outcomes)
    full = RefusedNotRun(NotRunReason.RECORDS_FULL)
    assert position.begin(make_key(95)) == full
    assert isinstance(position.begin(make_key(90)), InProgress)


def test_account_with_most_records_evicts_its_own():
    position = Position(max_records=8)
    position.finish(make_key(90))
    for number in range(30):
        run = position.begin(make_key(91 + number / 1000), account='flood')
        run.execution.mark_sent()
        run.execution.complete(_ANSWER)
    assert len(position.records) == 8
    assert position.begin(make_key(90)) == AnswerAgain(_ANSWER)


def test_large_answers_are_reduced_to_their_status():
    position = Position(max_answer_bytes=1000, max_total_answer_bytes=1500)
    large = StoredAnswer(200, (), b'x' * 1001)
    position.finish(make_key(90), answer=large)
    status_only = AnswerAgain(StoredAnswer(200, (), None))
    assert position.begin(make_key(90)) == status_only
    medium = StoredAnswer(200, (), b'x' * 600)
    position.finish(make_key(91), answer=medium)
    position.finish(make_key(92), answer=medium)
    assert position.begin(make_key(91)) == status_only
    assert position.begin(make_key(92)) == AnswerAgain(medium)


@pytest.mark.parametrize(
    'key',
    [
        '',
        'order',
        '018bcfe5-6800-4000-8000-000000000000',
        '018bcfe5-6800-7000-c000-000000000000',
        '{018bcfe5-6800-7000-8000-000000000000}',
        '018bcfe568007000800000000000000000000',
    ],
)
def test_other_keys_have_no_time(key):
    """Guards against a second run of a key with a misread time.

    A time read from another kind of key may seem later than a takeover.
    """
    assert parse_key_time(key) is None


def test_time_of_the_example_in_rfc_9562():
    assert parse_key_time('017F22E2-79B0-7CC3-98C4-DC0C0C07398F') == (
        1645557742.000
    )


def begin_at(records, key, at, offset):
    now = Instant(at, _EPOCH + at + offset)
    return records.begin('studio', key, b'1', now)


@pytest.mark.parametrize('offsets', [(0, 0), (1, -1), (-1, 1)])
@pytest.mark.parametrize('timed', [True, False])
def test_lagging_former_owner_and_new_owner_never_both_run(offsets, timed):
    """Guards against a run at both owners when the former one is cut off.

    The new set is in force at 1000 s. The snapshot of the former owner was
    last confirmed then, so it runs keys until 1010 s.
    """
    runs_at_former = 0
    for tenths in range(-50, 200, 5):
        at = 1000 + tenths / 10
        # The latest time of a key that the former owner accepts, from a
        # client whose clock is ahead.
        key_ahead = 1.99 + offsets[0]
        key = make_key(at + key_ahead) if timed else 'order-1'
        former, new = Ownership('old'), Ownership('new')
        former.replace_positions(['old'], Instant(0, _EPOCH + offsets[0]))
        new.replace_positions(['old'], Instant(0, _EPOCH + offsets[1]))
        new.replace_positions(
            ['new'], Instant(1000, _EPOCH + 1000 + offsets[1])
        )
        former_records, new_records = (
            ExecutionRecords(former),
            ExecutionRecords(new),
        )
        former_records.confirm(Instant(1000, _EPOCH + 1000 + offsets[0]))
        if not isinstance(begin_at(former_records, key, at, offsets[0]), Run):
            continue
        runs_at_former += 1
        # The client resends until the end of the resend window.
        for resent in (at, at + 0.5, at + 9, at + 30, at + 599):
            if resent < 1000:
                continue
            new_records.confirm(Instant(resent, _EPOCH + resent + offsets[1]))
            again = begin_at(new_records, key, resent, offsets[1])
            assert not isinstance(again, Run), (tenths, resent)
    assert runs_at_former == 31
