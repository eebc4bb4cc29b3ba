"""Choice of the hosts that callers are directed to."""

from ladder_policy.directory.reaching import HostView, prefer_reaching

__all__ = ('HostView', 'prefer_reaching')
