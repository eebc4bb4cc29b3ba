"""
Guards against memory that stays in use after large bodies are freed.

Small blocks that outlived bodies of some megabytes kept their memory in the
heap: a crowd that reads slowly took 141 MB where the bodies held 18 MB.
"""

import platform
import subprocess
import sys

import pytest

BODY_BYTES = 4_000_000
BODIES = 16
CODE = rf"""
import re
from ladder_core.memory import return_freed_memory

SETTING
del [bytearray({BODY_BYTES})][0]
bodies, kept = [], []
for _ in range({BODIES}):
    bodies.append(b'x' * {BODY_BYTES})
    kept.append(bytearray(2000))
bodies.clear()
with open('/proc/self/status') as status:
    print(re.search(r'VmRSS:\s+(\d+)', status.read())[1])
"""


def measure(setting):
    """Return the memory in use after bodies were freed, in bytes."""
    result = subprocess.run(  # noqa: S603 fixed code
        [sys.executable, '-c', CODE.replace('SETTING', setting)],
        check=True,
        capture_output=True,
        text=True,
    )
    return int(result.stdout) * 1024


@pytest.mark.skipif(
    platform.libc_ver()[0] != 'glibc', reason='mallopt is an option of glibc'
)
def test_memory_of_freed_bodies_is_returned():
    before = measure('')
    after = measure('assert return_freed_memory()')
    assert before - after > BODIES * BODY_BYTES / 2
