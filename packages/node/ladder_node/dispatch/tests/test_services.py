import pytest

from ladder_clients.services import ServiceRequest, ServiceResponse
from ladder_core.errors import (
    TargetLostError,
    TargetUnavailableError,
)
from ladder_core.timeline import HybridClock, Timeline
from ladder_core.timers import ManualTimerService
from ladder_core.values import HostEntry, HostKind
from ladder_node.dispatch import ServiceDispatcher
from ladder_node.targets import TargetTable


class FailingService:
    """Raises a list of errors, one for each call, and then answers."""

    def __init__(self, *errors):
        self.errors = list(errors)
        self.count = 0

    async def call(self, address, request):
        if self.errors:
            error = self.errors.pop(0)
            self.count += error is TargetLostError
            raise error('failed', remedy='none')
        self.count += 1
        return ServiceResponse(200, b'', '')


def make_dispatcher(service, replicas=4):
    timers = ManualTimerService()
    targets = TargetTable(timers, Timeline('node', HybridClock(timers)))
    targets.update_hosts(
        HostEntry(f's-{index}', HostKind.service, 'a:1', 'dc', 'r')
        for index in range(replicas)
    )
    return ServiceDispatcher(targets, service)


@pytest.mark.parametrize('method', ['POST', 'PATCH'])
async def test_call_that_may_have_run_is_not_repeated(method):
    service = FailingService(TargetLostError)
    with pytest.raises(TargetLostError):
        await make_dispatcher(service).call(
            '', ServiceRequest('r', method, '/')
        )
    assert service.count == 1


@pytest.mark.parametrize('method', ['GET', 'HEAD', 'PUT', 'DELETE'])
async def test_idempotent_call_is_repeated_at_another_replica(method):
    service = FailingService(TargetLostError)
    response = await make_dispatcher(service).call(
        '',
        ServiceRequest('r', method, '/'),
    )
    assert response.status == 200


async def test_call_that_was_not_sent_goes_to_another_replica():
    service = FailingService(TargetUnavailableError)
    await make_dispatcher(service).call('', ServiceRequest('r', 'POST', '/'))
    assert service.count == 1


async def test_refusals_after_a_lost_attempt_do_not_hide_it():
    service = FailingService(TargetLostError, TargetUnavailableError)
    with pytest.raises(TargetLostError):
        await make_dispatcher(service, 2).call(
            '',
            ServiceRequest('r', 'GET', '/'),
        )
