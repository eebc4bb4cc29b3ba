"""The current route configuration and the newest versions of models."""

from ladder_node.routes.cache import RouteCache
from ladder_node.routes.confirmation import RouteConfirmation
from ladder_node.routes.source import RouteSource
from ladder_node.routes.versions import ModelVersions

__all__ = ('ModelVersions', 'RouteCache', 'RouteConfirmation', 'RouteSource')
