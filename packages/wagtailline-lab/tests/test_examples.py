"""Tests of the example programs that show how to embed the library."""

import subprocess
import sys
from pathlib import Path

import pytest

_EXAMPLES = Path(__file__).parents[3] / 'examples'


@pytest.mark.parametrize('path', sorted(_EXAMPLES.glob('*.py')))
def test_example_runs(path):
    """Examples fail if the library changes without them."""
    completed = subprocess.run(
        [sys.executable, str(path)], capture_output=True, check=False
    )
    assert completed.returncode == 0, completed.stderr.decode()
    assert completed.stdout
