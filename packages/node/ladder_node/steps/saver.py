"""Save the finished groups of a step in batches."""

from loguru import logger

from ladder_core.errors import StoreUnavailableError
from ladder_core.supervision import Component
from ladder_core.timers import PeriodicCall, TimerService
from ladder_node.steps.metrics import GROUPS_SAVED
from ladder_node.steps.runner import StepRunner
from ladder_node.steps.store import StepStore, make_batch_name

_SAVE_INTERVAL_SECONDS = 2


class GroupSaver(Component):
    """
    Save the finished groups of a step in at most one object per period.

    Parameters
    ----------
    runner : StepRunner
        Runner whose finished groups are saved.
    store : StepStore
        Stores each batch of groups as one object.
    timers : TimerService
        Clock, delays and periodic callbacks.
    run_id : str
        Identifier of the run, part of the names of its batches.

    """

    def __init__(
        self,
        runner: StepRunner,
        store: StepStore,
        timers: TimerService,
        run_id: str,
    ) -> None:
        self._runner = runner
        self._store = store
        self._timers = timers
        self._run_id = run_id
        self._batches = 0
        self._saved: set[int] = set()
        self._periodic_call: PeriodicCall | None = None

    @property
    def run_id(self) -> str:
        """Identifier of the run, part of the names of its batches."""
        return self._run_id

    async def start(self) -> None:
        """Start to save periodically; a second call does nothing."""
        if self._periodic_call is not None:
            return
        self._periodic_call = self._timers.call_periodically(
            _SAVE_INTERVAL_SECONDS, self.save
        )

    async def close(self) -> None:
        """Stop the periodic saving."""
        if self._periodic_call is not None:
            await self._periodic_call.close()
            self._periodic_call = None

    async def save(self) -> None:
        """Save the groups that were completed since the last save."""
        groups = tuple(
            group
            for group in self._runner.read_finished()
            if group.index not in self._saved
        )
        if not groups:
            return
        batch = make_batch_name(self._run_id, self._batches)
        try:
            await self._store.save_groups(self._runner.spec, batch, groups)
        except StoreUnavailableError as error:
            logger.warning(
                'groups of step {} not saved: {}',
                self._runner.spec.name,
                error,
            )
            return
        self._batches += 1
        self._saved.update(group.index for group in groups)
        GROUPS_SAVED.inc(len(groups))
