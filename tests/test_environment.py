"""Guards against environments broken by concurrent or killed commands."""

import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

ENV = Path(__file__).parent.parent / 'bin' / 'env'
WAIT_SECONDS = 30
# Makes an environment whose pip records its calls and waits for permission.
PYTHON = f"""#!/usr/bin/env bash
[ "$1" = -m ] || exec {sys.executable} "$@"
mkdir -p "$3/bin"
touch "$3/pyvenv.cfg"
cat > "$3/bin/pip" <<'PIP'
#!/usr/bin/env bash
echo "${{@: -1}}" >> "$TOP/calls"
while [ ! -e "$TOP/permission" ]; do sleep 0.02; done
PIP
chmod +x "$3/bin/pip"
echo venv >> "$TOP/calls"
"""


class Tree:
    """Copy of the script in a tree without packages to install."""

    def __init__(self, top):
        self.top = top
        self.venv = top / '.venv'
        for folder in ('bin', 'requirements', 'packages/a', 'platform'):
            (top / folder).mkdir(parents=True)
        (top / 'standins').mkdir()
        shutil.copy(ENV, top / 'bin' / 'env')
        (top / 'requirements' / 'dev.txt').touch()
        for member in ('packages/a', 'platform', 'standins'):
            (top / member / 'pyproject.toml').touch()
        python = top / 'bin' / 'python3.11'
        python.write_text(PYTHON)
        python.chmod(0o755)

    def start(self):
        path = f'{self.top / "bin"}:{os.environ["PATH"]}'
        variables = {**os.environ, 'PATH': path, 'TOP': str(self.top)}
        variables.pop('LADDER_VENV', None)
        return subprocess.Popen(
            [str(self.top / 'bin' / 'env')],
            stdout=subprocess.PIPE,
            text=True,
            env=variables,
            start_new_session=True,
        )

    def run(self):
        process = self.start()
        output, _ = process.communicate(timeout=WAIT_SECONDS)
        assert process.returncode == 0
        assert output == f'{self.venv}/bin\n'

    def permit(self):
        (self.top / 'permission').touch()

    def read_calls(self):
        calls = self.top / 'calls'
        return calls.read_text().split() if calls.exists() else []

    def wait_for_calls(self, count):
        deadline = time.monotonic() + WAIT_SECONDS
        while len(self.read_calls()) < count:
            assert time.monotonic() < deadline
            time.sleep(0.02)


@pytest.fixture
def tree(tmp_path):
    made = Tree(tmp_path)
    yield made
    # Processes of a test that failed would wait for permission for ever.
    made.permit()


def count_creations(tree):
    return tree.read_calls().count('venv')


def test_one_of_several_commands_creates_the_environment(tree):
    processes = [tree.start() for _ in range(4)]
    tree.wait_for_calls(2)
    # Time for the others to start a second creation.
    time.sleep(0.5)
    assert len(tree.read_calls()) == 2
    assert not any(process.poll() is not None for process in processes)
    tree.permit()
    for process in processes:
        output, _ = process.communicate(timeout=WAIT_SECONDS)
        assert process.returncode == 0
        assert output == f'{tree.venv}/bin\n'
    assert count_creations(tree) == 1
    assert len(tree.read_calls()) == 3


def test_interrupted_environment_is_created_anew(tree):
    process = tree.start()
    tree.wait_for_calls(2)
    (tree.venv / 'left over').touch()
    os.killpg(process.pid, signal.SIGKILL)
    process.communicate()
    tree.permit()
    tree.run()
    assert count_creations(tree) == 2
    assert not (tree.venv / 'left over').exists()


def test_interrupted_update_leads_to_a_new_environment(tree):
    tree.permit()
    tree.run()
    (tree.top / 'permission').unlink()
    (tree.top / 'requirements' / 'dev.txt').write_text('# changed\n')
    process = tree.start()
    tree.wait_for_calls(4)
    os.killpg(process.pid, signal.SIGKILL)
    process.communicate()
    tree.permit()
    tree.run()
    assert count_creations(tree) == 2


def test_installing_command_outlives_the_killed_one_that_started_it(tree):
    # A second command must not install while pip of the first still runs.
    process = tree.start()
    tree.wait_for_calls(2)
    os.kill(process.pid, signal.SIGKILL)
    process.wait()
    second = tree.start()
    time.sleep(0.5)
    assert count_creations(tree) == 1
    tree.permit()
    second.communicate(timeout=WAIT_SECONDS)
    assert second.returncode == 0
    assert count_creations(tree) == 2
    process.stdout.close()


def test_complete_environment_is_left_alone(tree):
    tree.permit()
    tree.run()
    calls = tree.read_calls()
    tree.run()
    assert tree.read_calls() == calls


def test_changed_requirements_update_the_environment(tree):
    tree.permit()
    tree.run()
    (tree.top / 'requirements' / 'dev.txt').write_text('# changed\n')
    tree.run()
    assert count_creations(tree) == 1
    assert len(tree.read_calls()) == 5


def test_folder_that_is_no_environment_is_not_removed(tree):
    tree.venv.mkdir()
    (tree.venv / 'file').touch()
    process = tree.start()
    process.communicate(timeout=WAIT_SECONDS)
    assert process.returncode == 1
    assert (tree.venv / 'file').exists()
