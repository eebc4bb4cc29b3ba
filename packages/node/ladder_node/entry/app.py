"""HTTP routes of a node."""

from starlette.applications import Starlette
from starlette.routing import Route

from ladder_core.errors import LadderError
from ladder_node.entry.completions import CompletionRoutes
from ladder_node.entry.dependencies import EntryDependencies
from ladder_node.entry.operations import OperationRoutes
from ladder_node.entry.problems import handle_error
from ladder_node.entry.services import ServiceRoutes
from ladder_node.entry.steps import StepRoutes

_METHODS = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE')
_STEP_PATH = '/v1/trainers/{trainer}/steps/{step:int}'
_SERVICE_PATH = '/v1/services/{pool}/{path:path}'


def make_entry_app(dependencies: EntryDependencies) -> Starlette:
    """
    Create the HTTP application of a node.

    Parameters
    ----------
    dependencies : EntryDependencies
        Settings, configuration and dispatchers that the routes use.

    Returns
    -------
    Starlette
        Application with the routes of callers, trainers and operators.

    """
    routes = [
        *_list_caller_routes(dependencies),
        *_list_operation_routes(dependencies),
    ]
    handlers = {LadderError: handle_error, Exception: handle_error}
    return Starlette(routes=routes, exception_handlers=handlers)


def _list_caller_routes(dependencies: EntryDependencies) -> list[Route]:
    completions = CompletionRoutes(dependencies)
    services = ServiceRoutes(dependencies)
    steps = StepRoutes(dependencies)
    return [
        Route('/v1/completions', completions.complete, methods=['POST']),
        Route(_SERVICE_PATH, services.call, methods=list(_METHODS)),
        Route(_STEP_PATH, steps.open, methods=['PUT']),
        Route(_STEP_PATH, steps.close, methods=['DELETE']),
        Route(f'{_STEP_PATH}/pull', steps.pull, methods=['POST']),
    ]


def _list_operation_routes(dependencies: EntryDependencies) -> list[Route]:
    operations = OperationRoutes(dependencies)
    return [
        Route('/v1/addresses', operations.list_addresses),
        Route('/v1/timeline', operations.read_timeline),
        Route('/v1/nodes', operations.list_nodes),
        Route('/v1/status', operations.read_status),
        Route('/v1/drain', operations.begin_drain, methods=['POST']),
        Route('/healthz', operations.read_health),
        Route('/readyz', operations.read_readiness),
        Route('/metrics', operations.read_metrics),
    ]
