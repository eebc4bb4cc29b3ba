"""The newest published weight version of each model."""

from collections.abc import Callable

from ladder_core.timeline import Timeline

# Version that targets serve until a newer one is published.
FIRST_VERSION = 1


class ModelVersions:
    """
    Track the newest version of each model.

    Explanation
    -----------
    A version never decreases: an older one that arrives late is ignored.

    Parameters
    ----------
    timeline : Timeline
        Records each new version.

    """

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._newest: dict[str, int] = {}
        self._listeners: list[Callable[[], None]] = []

    def find(self, model: str) -> int:
        """Return the newest version of a model, or the first by default."""
        return self._newest.get(model, FIRST_VERSION)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after each new version."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Remove a registered listener."""
        self._listeners.remove(listener)

    def offer(self, model: str, version: int) -> None:
        """Record a version if it is newer than the known one."""
        before = self.find(model)
        if version <= before:
            return
        self._newest[model] = version
        self._timeline.record(
            'version-named',
            model,
            version=version,
            before=before,
        )
        for listener in self._listeners:
            listener()
