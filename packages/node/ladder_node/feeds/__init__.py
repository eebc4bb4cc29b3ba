"""Keep up with tables of the platform."""

from ladder_node.feeds.follower import (
    RETRY_SECONDS,
    WAIT_SECONDS,
    FeedListener,
    TableFollower,
)

__all__ = (
    'RETRY_SECONDS',
    'WAIT_SECONDS',
    'FeedListener',
    'TableFollower',
)
