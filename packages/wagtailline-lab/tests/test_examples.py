"""Guards the examples that embedders start from."""

import subprocess
import sys
from pathlib import Path

import pytest

_EXAMPLES = Path(__file__).parents[3] / 'examples'


@pytest.mark.parametrize('path', sorted(_EXAMPLES.glob('*.py')))
def test_example_runs(path):
    """An example that lags behind the library misleads."""
    ended = subprocess.run(
        [sys.executable, str(path)], capture_output=True, check=False
    )
    assert ended.returncode == 0, ended.stderr.decode()
    assert ended.stdout
