"""Tests of the release format and of parsing a set."""

from result import Err, Ok

from wagtailline.objects import (
    ClientAccount,
    DataCentre,
    Endpoint,
    Limit,
    Service,
    object_id,
    parse_objects,
)
from wagtailline.release import (
    DigestMismatch,
    build_release,
    decode_bucket,
    decode_head,
    encode_head,
    unpack_object,
)


def _objects(*published):
    return {object_id(item): item for item in published}


def _sample(burst: int = 5):
    return _objects(
        DataCentre('osl1', 'oslo'),
        Service('archive'),
        Endpoint('archive-osl1-0', 'archive', 'osl1', 6, 120),
        Limit('small', 5.0, burst, {'osl1': 0.5}),
        ClientAccount('studio', 'small'),
    )


def test_release_restores_every_object():
    """Guards against encoding that loses or alters objects.

    Every proxy would then apply a configuration that nobody published.
    """
    objects = _sample()
    release = build_release(objects, None, {}).unwrap()
    head = decode_head(encode_head(release.head)).unwrap()
    restored = {}
    for digest in head.buckets:
        packed = decode_bucket(release.buckets[digest], digest).unwrap()
        for packed_object in packed:
            restored[packed_object[:2]] = unpack_object(packed_object).unwrap()
    assert restored == objects


def test_corrupt_bucket_is_refused():
    """Guards against installing a bucket that was corrupted on its way."""
    release = build_release(_sample(), None, {}).unwrap()
    digest, content = max(
        release.buckets.items(), key=lambda item: len(item[1])
    )
    match decode_bucket(content[:-1] + b'\0', digest):
        case Err(DigestMismatch(expected=expected)):
            assert expected == digest
        case other:
            raise AssertionError(other)


def test_delta_holds_only_what_changed():
    """Guards against deltas that repeat unchanged objects.

    They would exceed the bandwidth that is allowed for control traffic.
    """
    parent = build_release(_sample(), None, {}).unwrap().head
    head = build_release(_sample(burst=9), parent, _sample()).unwrap().head
    assert head.version == 2
    assert head.delta is not None
    assert [item[:2] for item in head.delta.changed] == [('limits', 'small')]
    assert head.delta.removed == ()


def test_parse_names_every_fault():
    """Guards against parsing that stops at the first fault.

    An operator would then need one attempt for each fault.
    """
    raw = {
        'limits': [{'name': 'a', 'rate': 0, 'burst': '1', 'rat': 2}],
        'keyz': [],
        'services': [{}],
    }
    match parse_objects(raw):
        case Err(faults):
            named = {(type(fault).__name__, *fault[:2]) for fault in faults}
        case Ok(_):
            raise AssertionError
    assert named == {
        ('FieldUnknown', 'limits/a', 'rat'),
        ('FieldInvalid', 'limits/a', 'rate'),
        ('FieldInvalid', 'limits/a', 'burst'),
        ('UnknownKind', 'keyz'),
        ('FieldMissing', 'services[0]', 'name'),
    }
