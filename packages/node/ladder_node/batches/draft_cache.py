"""Cache of drafts of tasks that may be submitted again in a later batch."""

from collections import OrderedDict

from ladder_node.batches.open_batch import Draft

_MAX_DRAFTS = 4096


class DraftCache:
    """
    Cache the drafts of tasks that ended without a result.

    Parameters
    ----------
    max_drafts : int, optional
        Largest number of drafts; the least recently stored one is evicted
        first.

    """

    def __init__(self, max_drafts: int = _MAX_DRAFTS) -> None:
        self._drafts: OrderedDict[str, Draft] = OrderedDict()
        self._max_drafts = max_drafts

    def put(self, task_id: str, draft: Draft) -> None:
        """Store a draft unless a draft of at least its length is cached."""
        known = self._drafts.get(task_id, Draft())
        if len(draft.event_texts) <= len(known.event_texts):
            return
        self._drafts[task_id] = draft
        self._drafts.move_to_end(task_id)
        if len(self._drafts) > self._max_drafts:
            self._drafts.popitem(last=False)

    def take(self, task_id: str, min_version: int) -> Draft | None:
        """
        Remove the draft of a task and return it if it may be used.

        Parameters
        ----------
        task_id : str
            Identifies the task; the id is the same in each of its batches.
        min_version : int
            Oldest weight version that may have produced any part of the text.

        Returns
        -------
        Draft or None
            The draft; None if none is cached or some of it is too old.

        """
        draft = self._drafts.pop(task_id, None)
        if draft is None or not draft.satisfies(min_version):
            return None
        return draft
