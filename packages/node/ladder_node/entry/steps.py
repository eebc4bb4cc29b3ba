"""Routes with which trainers open, pull and close steps."""

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ladder_core.errors import (
    BadRequestError,
    ForbiddenError,
    TooLargeError,
)
from ladder_core.values import Group, Lists, Plan, Sample
from ladder_node.entry.dependencies import EntryDependencies
from ladder_node.entry.problems import make_problem
from ladder_node.entry.requests import (
    authenticate,
    check_model,
    parse_body,
    read_body,
)
from ladder_node.entry.step_messages import (
    GroupBody,
    GroupFailureBody,
    OpenStepRequest,
    PullRequest,
    PullResponse,
    SampleBody,
    StepStatus,
)
from ladder_node.steps import (
    Handover,
    HeldGroups,
    Pull,
    StepElsewhereError,
    StepSpec,
)

_CREATED_STATUS = 201
_MAX_STEP = 1_000_000_000
_UNREACHABLE_HEADER = 'x-ladder-unreachable'


class StepRoutes:
    """
    Answer the step requests of trainers.

    Parameters
    ----------
    dependencies : EntryDependencies
        Settings, configuration and dispatchers that the routes use.

    """

    def __init__(self, dependencies: EntryDependencies) -> None:
        self._dependencies = dependencies

    async def open(self, request: Request) -> Response:
        """Answer ``PUT /v1/trainers/{trainer}/steps/{step}``."""
        lists = self._dependencies.configuration.require_fresh_lists()
        plan = _authorize(request, lists)
        limit = self._dependencies.settings.body_limit_bytes
        body = parse_body(await read_body(request, limit), OpenStepRequest)
        allowance = lists.find_allowance(plan.name)
        check_model(allowance, body.model)
        spec = _make_spec(plan, request, body)
        try:
            await self._dependencies.steps.open(
                spec, allowance, _read_unreachable_address(request)
            )
        except StepElsewhereError as error:
            return _redirect(request, error)
        status = StepStatus(spec.name, spec.digest, len(spec.prompts))
        return _make_response(status, _CREATED_STATUS)

    async def pull(self, request: Request) -> Response:
        """Answer ``POST /v1/trainers/{trainer}/steps/{step}/pull``."""
        lists = self._dependencies.configuration.require_known_lists()
        plan = _authorize(request, lists)
        limit = self._dependencies.settings.body_limit_bytes
        body = parse_body(await read_body(request, limit), PullRequest)
        held = HeldGroups.parse(body.held)
        step = _read_step(request)
        try:
            runner = await self._dependencies.steps.find(
                plan.trainer,
                step,
                lists.find_allowance(plan.name),
                _read_unreachable_address(request),
            )
        except StepElsewhereError as error:
            return _redirect(request, error)
        handover = await self._dependencies.drain.run_long_poll(
            lambda seconds: runner.pull(
                Pull(body.version, held, seconds),
                lambda: self._get_staleness_bound(plan),
            ),
            body.wait_seconds,
        )
        return _make_response(_make_pull_response(runner.spec, handover))

    async def close(self, request: Request) -> Response:
        """Answer ``DELETE /v1/trainers/{trainer}/steps/{step}``."""
        lists = self._dependencies.configuration.require_known_lists()
        plan = _authorize(request, lists)
        step = _read_step(request)
        unreachable_address = _read_unreachable_address(request)
        try:
            await self._dependencies.steps.close_step(
                plan.trainer, step, unreachable_address
            )
        except StepElsewhereError as error:
            return _redirect(request, error)
        return _make_response(StepStatus(f'{plan.trainer}/{step}', '', 0))

    def _get_staleness_bound(self, plan: Plan) -> int:
        """Return the staleness bound of a plan that is in force now."""
        lists = self._dependencies.configuration.require_known_lists()
        current = lists.find_plan(plan.secret_sha256) or plan
        return current.staleness_versions


def _read_step(request: Request) -> int:
    step: int = request.path_params['step']
    if step > _MAX_STEP:
        raise BadRequestError(
            f'a step number is at most {_MAX_STEP}',
            remedy='number steps from zero',
        )
    return step


def _read_unreachable_address(request: Request) -> str:
    """Return the node address that the trainer reports as unreachable."""
    return request.headers.get(_UNREACHABLE_HEADER, '')


def _redirect(request: Request, error: StepElsewhereError) -> Response:
    return Response(
        msgspec.json.encode(make_problem(error)),
        error.status,
        {'location': f'http://{error.address}{request.url.path}'},
        'application/problem+json',
    )


def _authorize(request: Request, lists: Lists) -> Plan:
    plan = authenticate(request, lists)
    trainer = request.path_params['trainer']
    if plan.trainer != trainer:
        raise ForbiddenError(
            f'plan {plan.name} does not belong to trainer {trainer}',
            remedy="use the secret of the trainer's plan",
        )
    return plan


def _make_spec(plan: Plan, request: Request, body: OpenStepRequest) -> StepSpec:
    samples = len(body.prompts) * body.samples_per_group
    if samples > plan.samples_per_step:
        raise TooLargeError(
            f'{samples} samples are over the {plan.samples_per_step} '
            f'that plan {plan.name} allows a step',
            remedy='open a smaller step or extend the plan',
        )
    return StepSpec(
        plan=plan.name,
        trainer=plan.trainer,
        step=_read_step(request),
        model=body.model,
        prompts=tuple(body.prompts),
        samples_per_group=body.samples_per_group,
        max_tokens=body.max_tokens,
    )


def _make_pull_response(spec: StepSpec, handover: Handover) -> PullResponse:
    groups = tuple(_make_group(spec, group) for group in handover.groups)
    failures = tuple(
        GroupFailureBody(failure.index, make_problem(failure.error))
        for failure in handover.failures
    )
    return PullResponse(groups, handover.remaining, failures)


def _make_group(spec: StepSpec, group: Group) -> GroupBody:
    samples = tuple(
        _make_sample(spec, group.index, sample) for sample in group.samples
    )
    return GroupBody(group.index, samples)


def _make_sample(spec: StepSpec, group: int, sample: Sample) -> SampleBody:
    identity = str(spec.identify(group, sample.index))
    return SampleBody(identity, sample.text, sample.score, sample.spans)


def _make_response(message: msgspec.Struct, status: int = 200) -> Response:
    body = msgspec.json.encode(message)
    return Response(body, status, media_type='application/json')
