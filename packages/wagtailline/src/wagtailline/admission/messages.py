"""Messages between the gates of a service: message kinds 48 to 55."""

from typing import Annotated, NamedTuple

from msgspec import Meta

from wagtailline.codec import Message

MAX_FINGERPRINTS = 64
Fingerprint = Annotated[bytes, Meta(min_length=1, max_length=64)]
Fingerprints = Annotated[
    tuple[Fingerprint, ...], Meta(max_length=MAX_FINGERPRINTS)
]


class SuspectNotice(NamedTuple):
    """Requests that were in progress when an upstream crashed.

    ``crash`` numbers the crashes that the gate of this endpoint has detected
    in its incarnation, so that a repeated notice counts once. If ``cleared``
    is true, the requests have since run alone and were answered.
    """

    endpoint: str
    incarnation: int
    crash: int
    fingerprints: Fingerprints
    cleared: bool = False


ADMISSION_KINDS: dict[int, type[Message]] = {48: SuspectNotice}
