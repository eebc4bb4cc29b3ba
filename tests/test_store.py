import aiohttp

from ladder_standins.faults import Fault, FaultKind
from ladder_standins.fleet import EngineLayout, Layout, NodeLayout
from ladder_standins.trainer import StepRequest, Trainer

SECRET = 'test-secret'
LAYOUT = Layout(
    nodes=(NodeLayout('node-1', 'leith', 'lowlands'),),
    engines=(EngineLayout('engine-1', 'leith', 'lowlands'),),
    services=0,
)


async def test_work_that_needs_no_store_goes_on_while_it_is_silent(
    start_fleet,
):
    async with start_fleet(LAYOUT) as fleet, aiohttp.ClientSession() as session:
        await fleet.controls.add_fault('table', Fault(FaultKind.silence))
        address = fleet.processes.find_address('node-1')
        async with session.post(
            f'http://{address}/v1/completions',
            json={'model': 'cask', 'prompt': 'is it cold [length=20]'},
            headers={'authorization': f'Bearer {SECRET}'},
        ) as response:
            assert response.status == 200
        trainer = Trainer('cask-notes', SECRET, [address], 1)
        report = await trainer.run_step(
            StepRequest(0, 0, 'cask', ('first', 'second'), 2),
        )
        assert report.has_all_groups
