"""Numbers of replicas for demand that comes in bursts."""

import math

from ladder_policy.scaling.base import (
    Demand,
    ScalingDecision,
    ScalingPolicy,
    ServiceState,
)
from ladder_policy.scaling.fleet_plan import FleetPlan
from ladder_policy.scaling.need import count_needed_engines
from ladder_policy.scaling.peaks import SlidingPeak
from ladder_policy.scaling.reclaims import ReclaimMemory

# Time for which the engines that a burst needed are kept. Bursts are some
# seconds apart, and a new replica takes as long as half of their time limit.
_HOLD_SECONDS = 60
# Engines are ordered when there are fewer than the first multiple of those that
# the peak needs, up to the second one. A day of 22 engines costs about 0.02 of
# the value of its work, late results up to a third of it.
_MIN_HEADROOM = 1.15
_HEADROOM = 1.4
# Regular replicas as a share of the peak, so that the loss of all spot replicas
# at once costs little of the capacity until new ones serve.
_REGULAR_SHARE = 0.8
# Replicas are removed in steps: the part of the excess, and the time between.
_STEP_SHARE = 0.25
_STEP_SECONDS = 15
# Excess that is not worth a change.
_TOLERATED_SHARE = 0.15


class BurstScaling(ScalingPolicy):
    """
    Keep enough replicas for the largest recent burst.

    Explanation
    -----------
    Numbers are raised at once and reduced slowly, after the demand was lower
    for a whole window. Capacity beyond a floor of regular replicas comes from
    spot replicas, spread so that the loss of one data centre leaves enough.
    While there are none to be had, regular replicas take their place.
    """

    def __init__(self) -> None:
        self._peak = SlidingPeak(_HOLD_SECONDS)
        self._reclaims = ReclaimMemory()
        self._reduced_at: float | None = None

    def decide(self, state: ServiceState) -> ScalingDecision:
        """Return the numbers that should change now."""
        demand = state.demand
        self._reclaims.observe(state.data_centres, state.now)
        if demand is None or not state.data_centres:
            return ScalingDecision('unknown')
        needed = count_needed_engines(demand)
        peak = self._peak.add(needed, state.now)
        plan = self._make_plan(state, demand)
        plan.trim_to_maximum()
        plan.fill_minimum()
        reason = 'limits' if plan.list_changes() else 'enough'
        if plan.reliable < math.ceil(_MIN_HEADROOM * peak):
            _grow(plan, peak)
            reason = 'demand'
        elif self._should_reduce(plan, peak, state.now):
            _reduce(plan, peak)
            reason = 'excess'
        targets = tuple(plan.list_changes())
        if reason == 'excess' and targets:
            self._reduced_at = state.now
        return ScalingDecision(reason, targets, needed, peak)

    def _make_plan(self, state: ServiceState, demand: Demand) -> FleetPlan:
        plan = FleetPlan(state.limits, demand.slots)
        for data_centre in state.data_centres:
            plan.add_data_centre(
                data_centre,
                allows_spot=state.allows_spot,
                is_reclaimed=self._reclaims.is_recent(
                    data_centre.name, state.now
                ),
            )
        return plan

    def _should_reduce(self, plan: FleetPlan, peak: int, now: float) -> bool:
        if not self._peak.covers_window(now):
            return False
        if self._reduced_at is not None:
            if now - self._reduced_at < _STEP_SECONDS:
                return False
        wanted = math.ceil(_HEADROOM * peak)
        tolerated = max(math.ceil(_TOLERATED_SHARE * wanted), 1)
        return plan.reliable > wanted + tolerated


def _grow(plan: FleetPlan, peak: int) -> None:
    """Raise the floor of regular replicas, then add the cheaper spot ones."""
    wanted = math.ceil(_HEADROOM * peak)
    floor = math.ceil(_REGULAR_SHARE * peak)
    is_possible = True
    while is_possible and plan.regular < floor:
        is_possible = plan.add_regular()
    is_possible = True
    while is_possible and plan.reliable < wanted:
        is_possible = plan.add_spot() or plan.add_regular()


def _reduce(plan: FleetPlan, peak: int) -> None:
    """Remove a part of the excess, the dearer regular replicas first."""
    wanted = math.ceil(_HEADROOM * peak)
    floor = max(math.ceil(_REGULAR_SHARE * peak), 1)
    excess = plan.reliable - wanted
    for _ in range(math.ceil(_STEP_SHARE * excess)):
        is_regular = plan.regular > floor and plan.remove(is_spot=False)
        if not is_regular:
            plan.remove(is_spot=True)
