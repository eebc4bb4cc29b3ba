"""Settings that select the policies of a node."""

from enum import StrEnum

from ladder_core.settings.files import SettingsModel


class RoutingPolicy(StrEnum):
    """Policy by which a node chooses a target for a request."""

    least_loaded = 'least-loaded'
    prefix_affinity = 'prefix-affinity'
    round_robin = 'round-robin'


class PolicySettings(SettingsModel):
    """
    Policies of a node; each default is the recommended policy.

    Attributes
    ----------
    routing : RoutingPolicy
        Policy by which a target is chosen for each request.

    """

    routing: RoutingPolicy = RoutingPolicy.least_loaded
