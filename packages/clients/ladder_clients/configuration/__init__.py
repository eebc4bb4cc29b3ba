"""The operators' lists, stored in the table service."""

from ladder_clients.configuration.store import ConfigurationStore, ListsChange

__all__ = ('ListsChange', 'ConfigurationStore')
