"""Membership of nodes by heartbeat rows in the platform's table service."""

from ladder_node.members.addresses import choose_addresses
from ladder_node.members.membership import Membership
from ladder_node.members.rows import Member

__all__ = ('Member', 'Membership', 'choose_addresses')
