"""Limiters of several nodes that reach each other in memory."""

from ladder_node.members import Member
from ladder_node.rate_limits import PermitSender, SharedRateLimiter


class FakePeers(PermitSender):
    """
    Nodes that reach each other unless they are cut off.

    `delay_seconds` is the time of an application and its reply.
    """

    def __init__(self, timers, timeline, delay_seconds=0):
        self.timers = timers
        self.timeline = timeline
        self.delay_seconds = delay_seconds
        self.limiters = {}
        self.cut_off = set()
        self.applications = 0

    def add(self, name):
        limiter = SharedRateLimiter(
            name, self.list_members, self, self.timers, self.timeline
        )
        self.limiters[name] = limiter
        return limiter

    def list_members(self):
        return [
            Member(name, '', '', '', '', peer_address=name)
            for name in self.limiters
        ]

    async def send(self, address, application):
        self.applications += 1
        if address in self.cut_off:
            return None
        if self.delay_seconds:
            await self.timers.sleep(self.delay_seconds)
        return self.limiters[address].decide(application)


def make_limiter(timers, timeline):
    """Return the limiter of a single node."""
    return FakePeers(timers, timeline).add('node')
