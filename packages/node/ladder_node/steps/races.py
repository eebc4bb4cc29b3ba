"""Runs of one sample, of which the first to finish is taken."""

import asyncio
from collections.abc import Awaitable, Callable

from ladder_core.values import Sample
from ladder_node.steps.sampler import Draft


class SampleRace:
    """
    Run a draft, and copies of it that go on from where it is.

    Parameters
    ----------
    make : callable
        Finishes a draft.
    draft : Draft
        The first run's draft.

    """

    def __init__(
        self,
        make: Callable[[Draft], Awaitable[Sample]],
        draft: Draft,
    ) -> None:
        self._make = make
        self._first = draft
        self._drafts: dict[asyncio.Task[Sample], Draft] = {}
        loop = asyncio.get_running_loop()
        self._outcome: asyncio.Future[Sample] = loop.create_future()
        self._is_won_by_hedge = False

    @property
    def runs(self) -> int:
        """Number of runs in flight."""
        return len(self._drafts)

    @property
    def tokens(self) -> int:
        """Tokens of the longest run."""
        return max(map(_read_tokens, self._drafts.values()), default=0)

    @property
    def is_won_by_hedge(self) -> bool:
        """Whether a copy finished before the first run."""
        return self._is_won_by_hedge

    async def run(self) -> Sample:
        """
        Return the sample of the first run to finish; cancel the others.

        Raises
        ------
        LadderError
            All runs failed; the error is the last one's.

        """
        self._begin(self._first)
        try:
            return await self._outcome
        finally:
            await self._close()

    def hedge(self) -> None:
        """Go on from the longest text on an engine that was not tried."""
        if self._drafts and not self._outcome.done():
            leader = max(self._drafts.values(), key=_read_tokens)
            self._begin(leader.resume())

    def _begin(self, draft: Draft) -> None:
        task = asyncio.create_task(self._run(draft))
        self._drafts[task] = draft
        task.add_done_callback(self._end)

    async def _run(self, draft: Draft) -> Sample:
        return await self._make(draft)

    def _end(self, task: asyncio.Task[Sample]) -> None:
        draft = self._drafts.pop(task)
        error = None if task.cancelled() else task.exception()
        if self._outcome.done():
            return
        if not task.cancelled() and error is None:
            self._is_won_by_hedge = draft is not self._first
            self._outcome.set_result(task.result())
        elif self._drafts:
            # Another run is still in flight.
            return
        elif error is None:
            self._outcome.cancel()
        else:
            self._outcome.set_exception(error)

    async def _close(self) -> None:
        self._outcome.cancel()
        tasks = tuple(self._drafts)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _read_tokens(draft: Draft) -> int:
    return draft.tokens
