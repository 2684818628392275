"""Tests of the commands that read running daemons."""

import pytest
from cleo.testers.command_tester import CommandTester
from result import Err, Ok

from wagtailline_ctl import _daemon_commands
from wagtailline_ctl.daemon_client import DaemonUnreachable
from wagtailline_ctl.main import build_application

_FLEET = {'everywhere': 3, 'members': 12, 'laggards': [], 'silent': []}

_IDLE_GATE = {'in_progress': 0, 'queued': 0, 'limit': 1}


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
    """Guards against taking a silent data centre for an updated one.

    A data centre that does not answer may have an older version.
    """
    outcome = _run(monkeypatch, 'wait', 'd:1 3 --timeout 0.05', answer)
    assert outcome[0] == status


@pytest.mark.parametrize(
    ('gate', 'status'),
    [
        ({'in_progress': 0, 'queued': 0, 'limit': 1}, 0),
        ({'in_progress': 2, 'queued': 0, 'limit': 4}, 3),
        ({}, 3),
    ],
)
def test_drain_waits_for_every_gate(monkeypatch, gate, status):
    """Guards against reporting a drained gate while it has requests.

    An operator would then stop the upstream and cut requests in progress. A
    gate whose state is unknown counts as busy.
    """
    answer = Ok({'gate': gate})
    outcome = _run(monkeypatch, 'drain', 'd:1 e:1 --timeout 0.05', answer)
    assert outcome[0] == status


def test_unreachable_daemon_has_its_own_status(monkeypatch):
    """Guards against the exit status of a refusal for a daemon that is down.

    A script must be able to tell an unreachable daemon from a refusal.
    """
    failure = Err(DaemonUnreachable('d', 'refused'))
    assert _run(monkeypatch, 'status', 'd:1', failure)[0] == 4


@pytest.mark.parametrize(
    ('arguments', 'answer'),
    [('wait d:1 3', _FLEET), ('drain d:1', {'gate': _IDLE_GATE})],
)
def test_state_is_read_once_whatever_the_timeout(
    monkeypatch, arguments, answer
):
    """Guards against a timeout on a busy VM although the state is reached."""
    name, _, rest = arguments.partition(' ')
    outcome = _run(monkeypatch, name, f'{rest} --timeout 0', Ok(answer))
    assert outcome[0] == 0
