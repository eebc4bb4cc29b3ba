"""Bring the newest weights to the engines."""

import asyncio

from loguru import logger

from ladder_clients.engines import EngineClient, Order, OrderKind
from ladder_clients.platform import Weights, WeightStore
from ladder_clients.transport import TransportError
from ladder_core.errors import StoreUnavailableError
from ladder_core.supervision import Service
from ladder_core.timeline import TimeLine
from ladder_core.timers import Subscription, TimerService
from ladder_core.values import HostKind
from ladder_node.targets import Target, TargetTable

_PERIOD_SECONDS = 1


class WeightDuty(Service):
    """
    Order engines to load the newest version of their model.

    Parameters
    ----------
    targets : TargetTable
        What is known of the engines.
    engines : EngineClient
        Takes the orders to them.
    weights : WeightStore
        Tells the newest version.
    timers : TimerService
        Source of time.
    timeline : TimeLine
        Takes each order.

    """

    def __init__(
        self,
        targets: TargetTable,
        engines: EngineClient,
        weights: WeightStore,
        timers: TimerService,
        timeline: TimeLine,
    ) -> None:
        self._targets = targets
        self._engines = engines
        self._weights = weights
        self._timers = timers
        self._timeline = timeline
        self._subscription: Subscription | None = None

    async def start(self) -> None:
        """Begin to look for new versions."""
        self._subscription = self._timers.subscribe(
            _PERIOD_SECONDS,
            self._reconcile,
        )

    async def close(self) -> None:
        """Stop looking."""
        if self._subscription is not None:
            await self._subscription.close()
            self._subscription = None

    async def _reconcile(self) -> None:
        engines = self._targets.list_all(HostKind.engine)
        for model in sorted({target.entry.model for target in engines}):
            try:
                newest = await self._weights.read_newest(model)
            except StoreUnavailableError as error:
                logger.warning('weight store: {}', error)
                return
            await self._bring(newest, engines)

    async def _bring(self, newest: Weights, engines: list[Target]) -> None:
        behind = [target for target in engines if _is_behind(target, newest)]
        await asyncio.gather(
            *(self._order(target, newest) for target in behind),
        )

    async def _order(self, target: Target, newest: Weights) -> None:
        order = Order(
            OrderKind.load_version,
            fencing_token=0,
            model=newest.model,
            version=newest.version,
        )
        name = target.entry.name
        try:
            outcome = await self._engines.order(target.entry.address, order)
        except TransportError as error:
            logger.warning('order to {}: {}', name, error)
            return
        self._timeline.record(
            'version-ordered',
            name,
            version=newest.version,
            accepted=outcome.accepted,
        )


def _is_behind(target: Target, newest: Weights) -> bool:
    state = target.state
    if target.entry.model != newest.model or state is None:
        return False
    return state.version < newest.version and not state.swapping
