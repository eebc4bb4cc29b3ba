"""Keep up with tables of the platform."""

from ladder_node.feeds.follower import FeedListener, TableFollower

__all__ = ('FeedListener', 'TableFollower')
