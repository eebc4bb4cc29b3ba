import asyncio
import sys
from pathlib import Path

import yaml

from ladder_standins.fleet import EngineLayout, Layout, NodeLayout

PROGRAM = Path(sys.executable).parent / 'kumquatladder'
LAYOUT = Layout(
    nodes=(
        NodeLayout('node-1', 'leith', 'lowlands'),
        NodeLayout('node-2', 'govan', 'lowlands'),
    ),
    engines=(EngineLayout('engine-1', 'leith', 'lowlands'),),
    services=1,
)


async def run(*flags):
    process = await asyncio.create_subprocess_exec(
        str(PROGRAM),
        *map(str, flags),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    return process.returncode, out.decode(), err.decode()


def set_bound(path, bound):
    document = yaml.safe_load(path.read_text())
    document['plans'][0]['staleness_versions'] = bound
    path.write_text(yaml.safe_dump(document))


async def test_usage_errors_and_invalid_files_have_their_status(tmp_path):
    status, _, err = await run('apply')
    assert status == 2
    assert 'usage' in err
    plans = tmp_path / 'plans.yaml'
    plans.write_text('plans:\n- name: notes\n  customer: c\n')
    allowances = tmp_path / 'allowances.yaml'
    allowances.write_text('allowances: []\n')
    status, _, err = await run('check', plans, allowances)
    assert status == 1
    assert f'{plans}:2: plans.0.secret_sha256: Field required' in err
    assert 'correct the fields named' in err
    status, _, err = await run('status', '--node=127.0.0.1:9')
    assert status == 1
    assert 'name another node' in err


async def test_two_operators_edit_the_lists_and_see_the_nodes(
    start_fleet,
    tmp_path,
):
    async with start_fleet(LAYOUT) as fleet:
        table = f'--table={fleet.processes.find_address("table")}'
        node = f'--node={fleet.processes.find_address("node-1")}'
        first_files = (
            tmp_path / 'my-plans.yaml',
            tmp_path / 'my-allowances.yaml',
        )
        second_files = (
            tmp_path / 'plans-2.yaml',
            tmp_path / 'allowances-2.yaml',
        )
        for plans, allowances in (first_files, second_files):
            flags = (f'--plans={plans}', f'--allowances={allowances}')
            status, out, _ = await run('show', table, *flags)
            assert (status, 'revision 1' in out) == (0, True)
        set_bound(first_files[0], 3)
        status, out, _ = await run('diff', *first_files, table)
        assert (status, out) == (
            0,
            'plan notes changed (staleness_versions: 1 -> 3)\n',
        )
        status, out, _ = await run('apply', *first_files, table, '--author=ada')
        assert (status, out) == (0, 'revision 2 is accepted\n')
        set_bound(second_files[0], 4)
        status, _, err = await run(
            'apply', *second_files, table, '--author=bob'
        )
        assert status == 1
        assert 'revision 2 by ada: plan notes changed' in err
        # Applying the first file updated the revision in it, so that it can be
        # applied again.
        set_bound(first_files[0], 5)
        status, out, _ = await run('apply', *first_files, table, '--author=ada')
        assert (status, out) == (0, 'revision 3 is accepted\n')
        status, out, _ = await run('drain', 'node-2', node)
        assert (status, out) == (0, 'node-2 is drained\n')
        status, out, _ = await run('status', node)
        assert status == 0
        assert ['ready', 'drained'] == [
            line.split()[2] for line in out.splitlines()[1:]
        ]
        status, out, _ = await run('timeline', node)
        events = [line.split()[1:3] for line in out.splitlines()]
        begun = events.index(['node-2', 'drain-begun'])
        assert begun < events.index(['node-1', 'node-leaving'])
        status, _, err = await run('drain', 'node-9', node)
        assert status == 1
        assert 'name one of node-1, node-2' in err
