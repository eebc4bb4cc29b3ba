"""Weight versions of a run and the times of their publication."""

import time

import aiohttp

from bench.deployments import MODEL
from ladder_standins.fleet import Controls


class VersionPublisher:
    """
    Publish weight versions and record the time of each publication.

    Parameters
    ----------
    controls : Controls
        Sends the versions to the weight store.

    """

    def __init__(self, controls: Controls) -> None:
        self._controls = controls
        self._times = [time.monotonic()]

    @property
    def newest(self) -> int:
        """Newest published version; zero before the first publication."""
        return len(self._times) - 1

    async def publish(self) -> None:
        """Publish the next version, unless the weight store is unavailable."""
        try:
            await self._controls.publish(MODEL, self.newest + 1)
        except aiohttp.ClientError:
            # The trainer continues with the version that it published last.
            return
        self._times.append(time.monotonic())

    def find_publication_gap_seconds(
        self, version: int, trainer_version: int
    ) -> float:
        """Return the seconds between the publications of two versions."""
        return self._times[trainer_version] - self._times[version]
