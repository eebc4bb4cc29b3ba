"""The nodes of the deployment, by their rows in the platform's table."""

from ladder_node.members.addresses import choose_addresses
from ladder_node.members.membership import Membership
from ladder_node.members.rows import Member

__all__ = ('Member', 'Membership', 'choose_addresses')
