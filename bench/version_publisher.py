"""The weight versions of a run and when they were published."""

import time

import aiohttp

from bench.deployments import MODEL
from ladder_standins.fleet import Controls


class VersionPublisher:
    """
    Publish versions and remember when.

    Parameters
    ----------
    controls : Controls
        Orders to the weight store.

    """

    def __init__(self, controls: Controls) -> None:
        self._controls = controls
        self._times = [time.monotonic()]

    @property
    def newest(self) -> int:
        """The newest published version."""
        return len(self._times) - 1

    async def publish(self) -> None:
        """Publish the next version, unless the weight store is out."""
        try:
            await self._controls.publish(MODEL, self.newest + 1)
        except aiohttp.ClientError:
            # The trainer goes on at the version that it published last.
            return
        self._times.append(time.monotonic())

    def find_publication_gap_seconds(
        self, version: int, trainer_version: int
    ) -> float:
        """Return the seconds between the publications of two versions."""
        return self._times[trainer_version] - self._times[version]
