from ladder_clients.services import ServiceRequest, ServiceResponse
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import HostEntry, HostKind
from ladder_node.dispatch import ServiceDispatcher
from ladder_node.targets import TargetTable


class RecordingService:
    def __init__(self):
        self.addresses: list[str] = []

    async def call(self, address, request):
        self.addresses.append(address)
        return ServiceResponse(200, b'', '')


def make_dispatcher(targets, service):
    return ServiceDispatcher(targets, service)


async def test_call_after_a_pause_waits_until_the_table_is_read_again():
    timers = ManualTimerService()
    targets = TargetTable(timers, Timeline('node', HybridClock(timers)))
    targets.update_hosts(
        HostEntry(name, HostKind.service, f'{name}:1', 'dc', 'r')
        for name in ('one', 'two')
    )
    stale = {'node'}

    async def read_anew():
        targets.mark_leaving('one')
        stale.clear()

    targets.set_staleness_check(lambda: bool(stale), read_anew)
    service = RecordingService()
    dispatcher = make_dispatcher(targets, service)
    for _ in range(3):
        response = await dispatcher.call('', ServiceRequest('r', 'POST', '/'))
        assert response.status == 200
    assert service.addresses == ['two:1', 'two:1', 'two:1']
