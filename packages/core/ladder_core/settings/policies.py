"""Which policy a node takes for each decision."""

from enum import StrEnum

from ladder_core.settings.files import SettingsModel


class RoutingPolicy(StrEnum):
    """How a node chooses a target for a request."""

    least_loaded = 'least-loaded'
    prefix_affinity = 'prefix-affinity'
    round_robin = 'round-robin'


class PolicySettings(SettingsModel):
    """
    The policies of one node; each default is the recommended one.

    Attributes
    ----------
    routing : RoutingPolicy
        Choice of a target.

    """

    routing: RoutingPolicy = RoutingPolicy.least_loaded
