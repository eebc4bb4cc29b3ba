"""Fixtures of the tests with whole processes."""

import contextlib

import pytest

from ladder_standins.fleet import Fleet
from ladder_standins.operator import apply_lists, write_lists

SECRET = 'test-secret'


@pytest.fixture
def start_fleet(tmp_path):
    """Return a context that runs the processes of a layout, lists applied."""

    @contextlib.asynccontextmanager
    async def start(layout, bound=1):
        fleet = Fleet(layout, tmp_path)
        try:
            await fleet.start()
            files = write_lists(tmp_path, SECRET, bound)
            assert await apply_lists(fleet, files) == 0
            for node in layout.nodes:
                await fleet.controls.wait_for_success(node.name, '/readyz')
            yield fleet
        finally:
            await fleet.close()

    return start
