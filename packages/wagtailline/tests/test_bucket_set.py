"""Guards the step from one version to the next."""

from random import Random

import pytest
from result import Err, Ok

from wagtailline.objects import Key
from wagtailline.release import (
    EMPTY_SET,
    BucketMissing,
    DigestMismatch,
    MalformedContent,
    WrongParent,
    apply_delta,
    apply_deltas,
    assemble,
    bucket_set_of,
    build_release,
    chain_of,
    missing_buckets,
)
from wagtailline_lab.sample_set import make_objects


def _releases(count, seed=1):
    """Return heads, buckets of all of them, and the object maps."""
    random = Random(seed)
    objects, head, heads, buckets, sets = {}, None, [], {}, []
    following = make_objects(60, 5, 3)
    for version in range(count):
        release = build_release(following, head, objects).unwrap()
        objects, head = following, release.head
        heads.append(head)
        buckets.update(release.buckets)
        sets.append(objects)
        following = dict(objects)
        name = random.choice([one for one in objects if one[0] == 'endpoints'])
        following[name] = objects[name]._replace(slots=version + 7)
        if version % 3 == 0:
            following.pop(('keys', f'key{version}'), None)
            following['keys', f'new{version}'] = Key(
                f'new{version}', 'account0', f'{version + 99:064x}'
            )
    return heads, buckets, sets


def test_deltas_and_buckets_lead_to_the_same_version():
    """Two daemons that took different ways must hold equal objects."""
    heads, buckets, sets = _releases(6)
    base = bucket_set_of(1, sets[0])
    chained = apply_deltas(base, chain_of(heads[-1])).unwrap()
    assembled = assemble(base, heads[-1], buckets).unwrap()
    fresh = assemble(EMPTY_SET, heads[-1], buckets).unwrap()
    assert chained.buckets == assembled.buckets == fresh.buckets
    assert chained.buckets.objects == sets[-1]
    assert chained.changed == assembled.changed
    assert base == bucket_set_of(1, sets[0])


def test_faulty_delta_leaves_the_base_unchanged():
    """A delta that is cut short must not be partly applied."""
    heads, _, sets = _releases(4)
    base, delta = bucket_set_of(1, sets[0]), heads[1].delta
    cut = delta._replace(changed=delta.changed[:-1])
    assert isinstance(apply_delta(base, cut).unwrap_err(), DigestMismatch)
    torn = delta._replace(changed=((*delta.changed[0][:2], b'\x91'),))
    assert isinstance(apply_delta(base, torn).unwrap_err(), MalformedContent)
    late = apply_delta(base, heads[2].delta).unwrap_err()
    assert isinstance(late, WrongParent)
    failed = apply_deltas(base, (delta, heads[3].delta))
    assert isinstance(failed.unwrap_err(), WrongParent)
    assert base == bucket_set_of(1, sets[0])


def test_assembly_needs_every_bucket_and_a_consistent_head():
    """A missing bucket must not read as removed objects."""
    heads, buckets, sets = _releases(3)
    base = bucket_set_of(1, sets[0])
    needed = missing_buckets(base, heads[-1])
    assert 0 < len(needed) < 10
    partial = {digest: buckets[digest] for digest in needed[1:]}
    assert assemble(base, heads[-1], partial) == Err(BucketMissing(needed[0]))
    wrong = heads[-1]._replace(digest=b'0' * 16)
    assert isinstance(
        assemble(base, wrong, buckets).unwrap_err(), DigestMismatch
    )
    assert isinstance(assemble(base, heads[-1], buckets), Ok)


@pytest.mark.parametrize('skipped', [1, 20, 60])
def test_head_carries_the_deltas_of_a_burst(skipped):
    """A reader that misses heads in a burst must not need buckets."""
    heads, _, sets = _releases(skipped + 2)
    base = bucket_set_of(1, sets[0])
    applied = apply_deltas(base, chain_of(heads[-1])[-skipped - 1 :])
    assert applied.unwrap().buckets.digest == heads[-1].digest
