"""Messages of the admission: kinds 48-55."""

from typing import Annotated, NamedTuple

from msgspec import Meta

from wagtailline.codec import Message

MAX_FINGERPRINTS = 64
Fingerprint = Annotated[bytes, Meta(min_length=1, max_length=64)]
Fingerprints = Annotated[
    tuple[Fingerprint, ...], Meta(max_length=MAX_FINGERPRINTS)
]


class SuspectNotice(NamedTuple):
    """Requests that were in progress when an upstream died.

    ``death`` counts the deaths that the gate of this endpoint has seen in
    its incarnation, so that a repeated notice counts once. ``cleared``
    names requests that have since run alone to their answer.
    """

    endpoint: str
    incarnation: int
    death: int
    fingerprints: Fingerprints
    cleared: bool = False


ADMISSION_KINDS: dict[int, type[Message]] = {48: SuspectNotice}
