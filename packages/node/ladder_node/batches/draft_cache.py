"""Texts of tasks that may come again in a later batch."""

from collections import OrderedDict

from ladder_node.batches.open_batch import Draft

_CAPACITY = 4096


class DraftCache:
    """
    Keep the newest texts of tasks that got no result.

    Parameters
    ----------
    capacity : int, optional
        Number of texts; the oldest are dropped first.

    """

    def __init__(self, capacity: int = _CAPACITY) -> None:
        self._drafts: OrderedDict[str, Draft] = OrderedDict()
        self._capacity = capacity

    def put(self, task_id: str, draft: Draft) -> None:
        """Keep a text."""
        known = self._drafts.get(task_id, Draft())
        if len(draft.event_texts) <= len(known.event_texts):
            return
        self._drafts[task_id] = draft
        self._drafts.move_to_end(task_id)
        if len(self._drafts) > self._capacity:
            self._drafts.popitem(last=False)

    def take(self, task_id: str, min_version: int) -> Draft | None:
        """
        Return the text of a task if all of it is new enough.

        Parameters
        ----------
        task_id : str
            The task.
        min_version : int
            Oldest weight version that may have produced it.

        """
        draft = self._drafts.pop(task_id, None)
        if draft is None or not draft.satisfies(min_version):
            return None
        return draft
