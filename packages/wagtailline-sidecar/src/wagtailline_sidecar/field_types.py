"""Types of the fields that other processes write, with their bounds.

Decoders refuse values beyond the bounds. What they accept can be encoded
again, compared and used in computations without overflow.
"""

from typing import Annotated

from msgspec import Meta

MAX_INTEGER = 2**63 - 1
# Largest integer that a float holds exactly.
MAX_EXACT_INTEGER = 2**53
MAX_SLOTS = 1_000_000
MAX_RATE = 1_000_000_000_000
SECONDS_PER_DAY = 86_400
MILLISECONDS_PER_DAY = 86_400_000
_MAX_SECONDS = 1_000_000_000
_MAX_MILLISECONDS = 1_000_000_000_000

Name = Annotated[str, Meta(min_length=1, max_length=200)]
# An identity is sent in a header.
Identity = Annotated[str, Meta(pattern=r'\A[!-~]{1,200}\Z')]
Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
Timestamp = Annotated[int, Meta(ge=0, le=MAX_EXACT_INTEGER)]
Digest = Annotated[bytes, Meta(min_length=1, max_length=64)]
# Requests per second, or a number of requests.
Rate = Annotated[float, Meta(ge=0, le=MAX_RATE)]
Seconds = Annotated[float, Meta(ge=0, le=_MAX_SECONDS)]
Milliseconds = Annotated[float, Meta(ge=0, le=_MAX_MILLISECONDS)]
WarmUpSeconds = Annotated[float, Meta(ge=0, le=SECONDS_PER_DAY)]
WarmUpMilliseconds = Annotated[float, Meta(ge=0, le=MILLISECONDS_PER_DAY)]
