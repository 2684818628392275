"""Tests of the search for heads among the bytes of a body."""

import subprocess
import sys

from wagtailline_sidecar._embedded_heads import HeadSearch

# A search that is finished in milliseconds, on any machine.
MAX_SECONDS = 30
SCRIPT = """
from wagtailline_sidecar._embedded_heads import HeadSearch
search = HeadSearch(b'x-id', {b'own'})
search.find(b'HTTP/1.1 200 OK\\r\\nX-Id: ')
for _ in range(100):
    search.find(b' ' * 4096)
"""


def test_blanks_without_end_take_no_time():
    """Guards against a search that hangs the process (CONFIG, Fault).

    The pattern took the third power of the length of a run of blanks.
    """
    subprocess.run(
        [sys.executable, '-c', SCRIPT], timeout=MAX_SECONDS, check=True
    )


def test_name_between_blanks_is_found():
    """Guards against a copy that blanks around its name hide."""
    search = HeadSearch(b'x-id', {b'own'})
    assert search.find(b'HTTP/1.1 200 OK\r\nX-Id: \t own \t\r\n\r\n')
    other = HeadSearch(b'x-id', {b'own'})
    assert not other.find(b'HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n')
