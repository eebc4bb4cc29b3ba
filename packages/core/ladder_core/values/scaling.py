"""Limits on the numbers of replicas of a service."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType


@dataclass(frozen=True, slots=True)
class ScalingLimits:
    """
    Limits and prices that apply when the number of replicas is changed.

    Attributes
    ----------
    min_replicas, max_replicas : int
        Limits for each data centre, for replicas of both kinds together.
    boot_seconds : float
        Time from an order until a new replica serves.
    spot_price : float
        Price of a spot replica relative to a regular one.
    prices : mapping of str to float
        Price of a regular replica per second by data centre.

    Raises
    ------
    ValueError
        A figure is negative or not finite, or the minimum exceeds the maximum.

    Examples
    --------
    >>> ScalingLimits(4, 2)
    Traceback (most recent call last):
        ...
    ValueError: scaling: min 4 exceeds max 2

    """

    min_replicas: int
    max_replicas: int
    boot_seconds: float = 0
    spot_price: float = 1
    prices: Mapping[str, float] = field(
        default_factory=lambda: MappingProxyType({}),
    )

    def __post_init__(self) -> None:
        """Reject figures that no decision could follow."""
        figures = {
            'min': self.min_replicas,
            'max': self.max_replicas,
            'boot time': self.boot_seconds,
            'spot price': self.spot_price,
            **{f'price in {name}': cost for name, cost in self.prices.items()},
        }
        for name, figure in figures.items():
            if not math.isfinite(figure) or figure < 0:
                raise ValueError(f'scaling: {name} is {figure}, not 0 or more')
        if self.min_replicas > self.max_replicas:
            raise ValueError(
                f'scaling: min {self.min_replicas}'
                f' exceeds max {self.max_replicas}'
            )
