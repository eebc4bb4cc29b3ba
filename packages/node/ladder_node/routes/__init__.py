"""The configuration in force: routes, and the versions of models."""

from ladder_node.routes.cache import RouteCache
from ladder_node.routes.versions import ModelVersions

__all__ = ('ModelVersions', 'RouteCache')
