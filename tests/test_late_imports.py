"""
Guards against modules of hypothesis that are first imported within a test.

pytest parses such a module in the middle of the test. A finalizer that runs
meanwhile made it fail with "AST constructor recursion depth mismatch", in two
runs of CI beside load.
"""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
CODE = """
import sys
import conftest
from hypothesis import given, settings, strategies, target
import hypothesis.strategies

before = set(sys.modules)

@settings(max_examples=50, database=None)
@given(strategies.lists(strategies.integers()))
def run(numbers):
    target(float(len(numbers)))

run()
print([name for name in set(sys.modules) - before if 'hypothesis' in name])
"""


def test_running_a_property_loads_no_module_of_hypothesis():
    loaded = subprocess.run(  # noqa: S603 fixed code
        [sys.executable, '-c', CODE],
        check=True,
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert loaded.stdout.strip() == '[]'
