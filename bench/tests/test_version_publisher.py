import aiohttp

from bench.version_publisher import VersionPublisher
from ladder_standins.fleet import Controls, ProcessGroup


class _Controls(Controls):
    def __init__(self, folder):
        super().__init__(ProcessGroup(folder))
        self.is_unavailable = False
        self.published = []

    async def publish(self, model, version):
        if self.is_unavailable:
            raise aiohttp.ClientError('503')
        self.published.append(version)


async def test_version_refused_by_the_store_is_published_later(tmp_path):
    # Regression: an experiment ended with an error when a publication failed
    # because the weight store was unavailable.
    controls = _Controls(tmp_path)
    version_publisher = VersionPublisher(controls)
    controls.is_unavailable = True
    await version_publisher.publish()
    assert version_publisher.newest == 0
    controls.is_unavailable = False
    await version_publisher.publish()
    assert version_publisher.newest == 1
    assert controls.published == [1]
