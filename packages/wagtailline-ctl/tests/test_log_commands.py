"""Tests of the search of collected logs."""

import subprocess
import sys

import pytest
from cleo.testers.command_tester import CommandTester

from wagtailline_ctl.main import build_application

LINES = """\
time="12:00:02" level=INFO event=request_ended request=ab1 status=503
 -9.1 vm-2 time="12:00:01" level=INFO event=gate_call_ended request=ab1 \
instance=i-1 outcome=wait_too_long
time="12:00:00" level=INFO event=upstream_doubted reason=reset instance=i-1
time="12:00:01" level=INFO event=request_ended request=ab1.c2 status=200
time="12:00:01" level=INFO event=request_ended request=ab12 status=200
not an event
"""


@pytest.fixture
def log(tmp_path):
    path = tmp_path / 'daemons.log'
    path.write_text(LINES)
    return path


def run(arguments: str) -> CommandTester:
    tester = CommandTester(build_application().find('trace'))
    tester.execute(arguments)
    return tester


def test_decisions_of_a_request_and_its_calls_in_order(log):
    """Guards against lines of another request whose id has the same prefix."""
    tester = run(f'ab1 {log}')
    events = [
        line.split('request=')[1].split()[0]
        for line in tester.io.fetch_output().splitlines()
    ]
    assert events == ['ab1', 'ab1.c2', 'ab1']


def test_beliefs_about_the_upstreams_come_with_it(log):
    """Guards against leaving out a cause that names only the upstream.

    The reset of an upstream is logged without the id of a request.
    """
    output = run(f'ab1 {log} --beliefs').io.fetch_output()
    assert output.startswith('time="12:00:00"')


def test_unknown_request_has_an_exit_status(log):
    """Guards against exit status 0 if the logs do not contain the request."""
    assert run(f'zz {log}').status_code == 1


# A search that is finished in milliseconds, on any machine.
MAX_SECONDS = 30
SCRIPT = """
from wagtailline_ctl.log_search import parse_line
assert parse_line('a' * 400_000) is None
"""


def test_long_word_in_a_log_takes_no_time():
    """Guards against a trace that hangs on what is no event.

    Each character of a word was tried as the begin of a field.
    """
    subprocess.run(
        [sys.executable, '-c', SCRIPT], timeout=MAX_SECONDS, check=True
    )
