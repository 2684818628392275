"""Tests of the update from one version to the next."""

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
    assemble_buckets,
    build_release,
    list_deltas,
    make_bucket_set,
    missing_buckets,
)
from wagtailline_lab.sample_set import make_objects


def _releases(count, seed=1):
    """Build successive releases.

    Returns their heads, the buckets of all of them and their object maps.
    """
    random = Random(seed)
    objects, head, heads, buckets, object_maps = {}, None, [], {}, []
    next_objects = make_objects(60, 5, 3)
    for version in range(count):
        release = build_release(next_objects, head, objects).unwrap()
        objects, head = next_objects, release.head
        heads.append(head)
        buckets.update(release.buckets)
        object_maps.append(objects)
        next_objects = dict(objects)
        endpoint = random.choice(
            [identity for identity in objects if identity[0] == 'endpoints']
        )
        next_objects[endpoint] = objects[endpoint]._replace(slots=version + 7)
        if version % 3 == 0:
            next_objects.pop(('keys', f'key{version}'), None)
            next_objects['keys', f'new{version}'] = Key(
                f'new{version}', 'account0', f'{version + 99:064x}'
            )
    return heads, buckets, object_maps


def test_deltas_and_buckets_lead_to_the_same_version():
    """Guards against versions that depend on how they were fetched.

    One daemon applies deltas, another fetches buckets, and a third one starts
    without a version; all of them must have equal objects.
    """
    heads, buckets, object_maps = _releases(6)
    base = make_bucket_set(1, object_maps[0])
    chained = apply_deltas(base, list_deltas(heads[-1])).unwrap()
    assembled = assemble_buckets(base, heads[-1], buckets).unwrap()
    fresh = assemble_buckets(EMPTY_SET, heads[-1], buckets).unwrap()
    assert chained.buckets == assembled.buckets == fresh.buckets
    assert chained.buckets.objects == object_maps[-1]
    assert chained.changed == assembled.changed
    assert base == make_bucket_set(1, object_maps[0])


def test_faulty_delta_leaves_the_base_unchanged():
    """Guards against a delta that is applied in part before it fails.

    The delta lacks an object, has a corrupt object or has another parent.
    """
    heads, _, object_maps = _releases(4)
    base, delta = make_bucket_set(1, object_maps[0]), heads[1].delta
    incomplete = delta._replace(changed=delta.changed[:-1])
    assert isinstance(
        apply_delta(base, incomplete).unwrap_err(), DigestMismatch
    )
    corrupt = delta._replace(changed=((*delta.changed[0][:2], b'\x91'),))
    assert isinstance(apply_delta(base, corrupt).unwrap_err(), MalformedContent)
    refusal = apply_delta(base, heads[2].delta).unwrap_err()
    assert isinstance(refusal, WrongParent)
    failed = apply_deltas(base, (delta, heads[3].delta))
    assert isinstance(failed.unwrap_err(), WrongParent)
    assert base == make_bucket_set(1, object_maps[0])


def test_assembly_needs_every_bucket_and_a_consistent_head():
    """Guards against taking a missing bucket for removed objects.

    A reader may have fetched only some buckets, or a head whose digest is not
    that of its buckets.
    """
    heads, buckets, object_maps = _releases(3)
    base = make_bucket_set(1, object_maps[0])
    needed = missing_buckets(base, heads[-1])
    assert 0 < len(needed) < 10
    partial = {digest: buckets[digest] for digest in needed[1:]}
    assert assemble_buckets(base, heads[-1], partial) == Err(
        BucketMissing(needed[0])
    )
    inconsistent = heads[-1]._replace(digest=b'0' * 16)
    assert isinstance(
        assemble_buckets(base, inconsistent, buckets).unwrap_err(),
        DigestMismatch,
    )
    assert isinstance(assemble_buckets(base, heads[-1], buckets), Ok)


@pytest.mark.parametrize('skipped', [1, 20, 60])
def test_head_carries_the_deltas_of_a_burst(skipped):
    """Guards against fetching buckets after a burst of releases.

    A reader misses heads during the burst, and the last head must carry the
    deltas of those that it missed.
    """
    heads, _, object_maps = _releases(skipped + 2)
    base = make_bucket_set(1, object_maps[0])
    applied = apply_deltas(base, list_deltas(heads[-1])[-skipped - 1 :])
    assert applied.unwrap().buckets.digest == heads[-1].digest
