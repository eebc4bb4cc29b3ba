"""Choice of the regions whose targets may serve a request."""

from ladder_policy.regions.nearest import (
    AnyRegion,
    NearestRegion,
    RegionPolicy,
)

__all__ = ('AnyRegion', 'NearestRegion', 'RegionPolicy')
