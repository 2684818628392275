"""Tests of the commands that check, compare and build sets."""

import json

import pytest
from cleo.testers.command_tester import CommandTester

from wagtailline.objects import parse_objects
from wagtailline_ctl.differences import compare_sets, find_risks
from wagtailline_ctl.main import build_application
from wagtailline_ctl.releases import read_release
from wagtailline_lab.deployments import FJORDPENN, SHEEREEN, make_set


def _run(name, arguments):
    tester = CommandTester(build_application().find(name))
    status = tester.execute(arguments)
    return status, tester.io.fetch_output(), tester.io.fetch_error()


def _write(path, raw):
    path.write_text(json.dumps(raw))
    return path


@pytest.mark.parametrize('deployment', [FJORDPENN, SHEEREEN])
def test_deployments_build_and_read_back(tmp_path, deployment):
    """Guards against releases that cannot be read back.

    Every daemon would reject such a release.
    """
    raw = make_set(deployment)
    path = _write(tmp_path / 'set.json', raw)
    status, output, _ = _run('build', f'{path} {tmp_path}/values')
    assert status == 0
    assert output.startswith('version 1 ')
    published = read_release(tmp_path / 'values').unwrap()
    assert published.objects == parse_objects(raw).unwrap()


def test_refused_set_changes_nothing(tmp_path):
    """Guards against a set with faults replacing the published version."""
    raw = make_set(FJORDPENN)
    path = _write(tmp_path / 'set.json', raw)
    _run('build', f'{path} {tmp_path}/values')
    raw['routes'][0]['service'] = 'nowhere'
    raw['keys'][1]['digest'] = raw['keys'][0]['digest']
    raw['endpoints'][0]['slots'] = 500
    _write(path, raw)
    status, _, error = _run('build', f'{path} {tmp_path}/values')
    assert status == 1
    assert 'dangling reference: kind=routes' in error
    assert 'key claimed twice' in error
    assert 'slots exceed connections' in error
    assert read_release(tmp_path / 'values').unwrap().head.version == 1


def test_check_names_file_and_object(tmp_path):
    """Guards against missing an object that is defined in two files.

    Such a duplicate is found only when the files are merged.
    """
    raw = make_set(FJORDPENN)
    _write(tmp_path / 'a.json', raw)
    _write(tmp_path / 'b.json', {'services': [{'name': 'archive'}]})
    status, output, _ = _run('check', f'{tmp_path} --json')
    assert status == 1
    (fault,) = json.loads(output)
    assert fault['path'].endswith('b.json')
    assert fault['fault']['name'] == 'archive'


def test_diff_shows_the_risk_of_a_drain():
    """Guards against a drain whose loss of capacity is not shown.

    An operator has to see how many slots remain without the data centre.
    """
    old = make_set(FJORDPENN)
    new = make_set(FJORDPENN)
    new['data_centres'][0]['in_service'] = False
    before, after = (parse_objects(raw).unwrap() for raw in (old, new))
    (difference,) = compare_sets(before, after)
    assert difference.fields == ('in_service',)
    assert ('services/archive', '12 of 18 slots remain') in find_risks(
        before, after
    )
