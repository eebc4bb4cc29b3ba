"""Following the changes of tables of the platform."""

from ladder_node.feeds.follower import (
    LONG_POLL_SECONDS,
    RETRY_SECONDS,
    FeedListener,
    TableFollower,
)

__all__ = (
    'LONG_POLL_SECONDS',
    'RETRY_SECONDS',
    'FeedListener',
    'TableFollower',
)
