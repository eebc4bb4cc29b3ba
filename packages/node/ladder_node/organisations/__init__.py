"""Authentication of callers by the keys of their organisations."""

from ladder_node.organisations.authentication import Authenticator

__all__ = ('Authenticator',)
