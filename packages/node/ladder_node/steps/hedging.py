"""Hedged runs of one sample; the first run to finish wins."""

import asyncio
from collections.abc import Awaitable, Callable

from ladder_core.values import Sample
from ladder_node.steps.samples import PartialSample


class HedgedRun:
    """
    Run a partial sample and, when hedged, copies that resume its text.

    Parameters
    ----------
    produce : callable
        Coroutine function that finishes a partial sample.
    partial : PartialSample
        Partial sample of the first run.

    """

    def __init__(
        self,
        produce: Callable[[PartialSample], Awaitable[Sample]],
        partial: PartialSample,
    ) -> None:
        self._produce = produce
        self._first_partial = partial
        self._partials: dict[asyncio.Task[Sample], PartialSample] = {}
        loop = asyncio.get_running_loop()
        self._outcome: asyncio.Future[Sample] = loop.create_future()
        self._is_won_by_hedge = False

    @property
    def runs(self) -> int:
        """Number of runs in flight."""
        return len(self._partials)

    @property
    def tokens(self) -> int:
        """Tokens that the longest run in flight has received."""
        return max(map(_read_tokens, self._partials.values()), default=0)

    @property
    def is_won_by_hedge(self) -> bool:
        """Whether a hedged copy finished before the first run."""
        return self._is_won_by_hedge

    async def run(self) -> Sample:
        """
        Return the sample of the first run to finish and cancel the others.

        Raises
        ------
        LadderError
            All runs failed; the error is that of the last run to fail.

        """
        self._start_run(self._first_partial)
        try:
            return await self._outcome
        finally:
            await self._close()

    def hedge(self) -> None:
        """Start a copy of the longest run on an engine not yet tried."""
        if self._partials and not self._outcome.done():
            longest = max(self._partials.values(), key=_read_tokens)
            self._start_run(longest.resume())

    def _start_run(self, partial: PartialSample) -> None:
        task = asyncio.create_task(self._run(partial))
        self._partials[task] = partial
        task.add_done_callback(self._on_done)

    async def _run(self, partial: PartialSample) -> Sample:
        return await self._produce(partial)

    def _on_done(self, task: asyncio.Task[Sample]) -> None:
        partial = self._partials.pop(task)
        error = None if task.cancelled() else task.exception()
        if self._outcome.done():
            return
        if not task.cancelled() and error is None:
            self._is_won_by_hedge = partial is not self._first_partial
            self._outcome.set_result(task.result())
        elif self._partials:
            # Another run is still in flight.
            return
        elif error is None:
            self._outcome.cancel()
        else:
            self._outcome.set_exception(error)

    async def _close(self) -> None:
        self._outcome.cancel()
        tasks = tuple(self._partials)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _read_tokens(partial: PartialSample) -> int:
    return partial.tokens
