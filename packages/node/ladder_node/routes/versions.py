"""The newest weight version that is named for each model."""

from collections.abc import Callable

from ladder_core.timeline import TimeLine

# Version that targets hold before a later one is named.
FIRST_VERSION = 1


class ModelVersions:
    """
    Hold the newest version of each model, which never goes back.

    Parameters
    ----------
    timeline : TimeLine
        Takes each new version.

    """

    def __init__(self, timeline: TimeLine) -> None:
        self._timeline = timeline
        self._newest: dict[str, int] = {}
        self._listeners: list[Callable[[], None]] = []

    def find(self, model: str) -> int:
        """Return the newest version of a model."""
        return self._newest.get(model, FIRST_VERSION)

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a listener after each new version."""
        self._listeners.append(listener)

    def forget(self, listener: Callable[[], None]) -> None:
        """Call a listener no more."""
        self._listeners.remove(listener)

    def offer(self, model: str, version: int) -> None:
        """Take note of a version; an older one changes nothing."""
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
