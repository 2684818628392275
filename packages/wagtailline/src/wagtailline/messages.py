"""Messages that open a connection, and the kind numbers in use.

Each subsystem defines its own messages, with kind numbers from its range:
distribution 16-31, membership 32-39, allowance 40-47, admission 48-55,
calls 64-79.
"""

from typing import NamedTuple

from wagtailline.codec import Message

PROTOCOL_VERSION = 1
PURPOSE_CONTROL = 'control'
PURPOSE_CALLS = 'calls'


class Hello(NamedTuple):
    """First message of a connection in each direction."""

    protocol: int
    vm: str
    endpoint: str
    data_centre: str
    incarnation: int
    purpose: str


CONNECTION_KINDS: dict[int, type[Message]] = {0: Hello}
