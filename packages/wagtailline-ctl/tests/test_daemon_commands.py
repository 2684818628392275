"""Guards what the commands conclude from the answers of daemons."""

import pytest
from cleo.testers.command_tester import CommandTester
from result import Err, Ok

from wagtailline_ctl import _daemon_commands
from wagtailline_ctl.daemon_client import DaemonUnreachable
from wagtailline_ctl.main import build_application

_FLEET = {'everywhere': 3, 'members': 12, 'laggards': [], 'silent': []}


def _run(monkeypatch, name, arguments, answer):
    monkeypatch.setattr(_daemon_commands, 'read_daemon', lambda *_: answer)
    monkeypatch.setattr(_daemon_commands, 'POLL_SECONDS', 0)
    tester = CommandTester(build_application().find(name))
    return tester.execute(arguments), tester.io.fetch_output()


@pytest.mark.parametrize(
    ('answer', 'status'),
    [
        (Ok(_FLEET), 0),
        (Ok({**_FLEET, 'everywhere': 2}), 3),
        (Ok({**_FLEET, 'silent': ['osl3']}), 3),
        (Err(DaemonUnreachable('d', 'refused')), 3),
    ],
)
def test_wait_needs_every_data_centre(monkeypatch, answer, status):
    """A data centre without an answer may lag behind the others."""
    ended = _run(monkeypatch, 'wait', 'd:1 3 --timeout 0.05', answer)
    assert ended[0] == status


@pytest.mark.parametrize(
    ('gate', 'status'),
    [
        ({'in_progress': 0, 'queued': 0, 'limit': 1}, 0),
        ({'in_progress': 2, 'queued': 0, 'limit': 4}, 3),
        ({}, 3),
    ],
)
def test_drain_waits_for_every_gate(monkeypatch, gate, status):
    """An upstream stopped too early cuts requests in progress."""
    answer = Ok({'gate': gate})
    ended = _run(monkeypatch, 'drain', 'd:1 e:1 --timeout 0.05', answer)
    assert ended[0] == status


def test_unreachable_daemon_has_its_own_status(monkeypatch):
    """A script has to tell a dead daemon from a refusal."""
    failure = Err(DaemonUnreachable('d', 'refused'))
    assert _run(monkeypatch, 'status', 'd:1', failure)[0] == 4
