"""Tests of the size of a request head that arrives in parts."""

from wagtailline_sidecar._incoming_head import IncomingHead


def receive(head: IncomingHead, *headers: tuple[bytes, bytes], size: int):
    """Let ``size`` bytes arrive, of which only the headers are parsed."""
    head.begin_input()
    if not head.is_open:
        head.begin()
    for name, content in headers:
        head.add_header(name, content)
    head.end_input(size)


# Guards against memory that an endless header fills unnoticed.
def test_bytes_that_the_parser_holds_back_count():
    head = IncomingHead()
    for _ in range(10):
        receive(head, size=100)
    assert head.size_bytes == 1000


# Guards against a refused head whose header was counted twice.
def test_held_back_bytes_count_once_when_they_are_parsed():
    head = IncomingHead()
    receive(head, size=100)
    receive(head, (b'accept', b'x' * 150), size=60)
    assert head.size_bytes == 160


# Guards against a refused head after a large body in the same bytes.
def test_body_of_the_request_before_does_not_count():
    head = IncomingHead()
    receive(head, (b'host', b'a'), size=5)
    head.complete('1.1')
    head.begin_input()
    head.end_message()
    head.begin()
    head.end_input(100_000)
    assert head.size_bytes == 0
    assert head.is_open


# Guards against headers of one request that reach the next one.
def test_next_head_begins_empty():
    head = IncomingHead()
    receive(head, (b'Host', b'a'), size=5)
    head.add_target(b'/x')
    first = head.complete('1.1')
    head.end_message()
    head.begin()
    assert (first.target, first.headers) == (b'/x', ((b'host', b'a'),))
    assert (head.target, head.headers, head.size_bytes) == (b'', (), 0)
