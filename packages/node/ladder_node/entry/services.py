"""Route for calls to services."""

import uuid

from starlette.requests import Request
from starlette.responses import Response

from ladder_clients.services import (
    DEFAULT_TIMEOUT_SECONDS,
    ServiceRequest,
    ServiceResponse,
)
from ladder_core.values import Plan
from ladder_node.dispatch import IntentKey
from ladder_node.entry.dependencies import EntryDependencies
from ladder_node.entry.requests import (
    authenticate,
    check_pool,
    read_body,
    read_idempotency_key,
    read_timeout,
)


class ServiceRoutes:
    """
    Forward calls to services.

    Parameters
    ----------
    dependencies : EntryDependencies
        Settings, configuration and dispatchers that the routes use.

    """

    def __init__(self, dependencies: EntryDependencies) -> None:
        self._dependencies = dependencies

    async def call(self, request: Request) -> Response:
        """Answer any method under ``/v1/services/{pool}/``."""
        lists = self._dependencies.configuration.require_fresh_lists()
        plan = authenticate(request, lists)
        pool = request.path_params['pool']
        check_pool(lists.find_allowance(plan.name), pool)
        limit = self._dependencies.settings.body_limit_bytes
        body = await read_body(request, limit)
        service_request = ServiceRequest(
            request_id=uuid.uuid4().hex,
            method=request.method,
            path=_read_path(request),
            body=body,
            content_type=request.headers.get('content-type', ''),
            timeout_seconds=read_timeout(request, DEFAULT_TIMEOUT_SECONDS),
        )
        response = await self._call(plan, pool, request, service_request)
        return Response(
            response.body,
            response.status,
            media_type=response.content_type,
        )

    async def _call(
        self,
        plan: Plan,
        pool: str,
        request: Request,
        service_request: ServiceRequest,
    ) -> ServiceResponse:
        key = read_idempotency_key(request)
        if key is None:
            return await self._dependencies.services.call(pool, service_request)
        return await self._dependencies.idempotent_services.call(
            IntentKey(plan.name, pool, key),
            service_request,
        )


def _read_path(request: Request) -> str:
    path = f'/{request.path_params["path"]}'
    if request.url.query:
        return f'{path}?{request.url.query}'
    return path
