"""The operators' lists in the table service."""

from ladder_clients.configuration.rows import Change, ConfigurationRows

__all__ = ('Change', 'ConfigurationRows')
