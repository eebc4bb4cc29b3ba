"""A service whose replicas follow the orders of a policy, in memory."""

import random
from dataclasses import dataclass, field

from ladder_core.values import ScalingLimits
from ladder_policy.scaling import (
    DataCentreState,
    Demand,
    PoolState,
    ServiceState,
    TaskDemand,
)

TICK_SECONDS = 0.1
DECISION_TICKS = 5
BOOT_SECONDS = 4
SLOTS = 6
TOKEN_SECONDS = 0.0007
EVENT_TOKENS = 61
DUE_SECONDS = 7.5
# Time before and after a run that a result needs.
OVERHEAD_SECONDS = 0.3
PRICES = {'north': 1, 'south': 0.85, 'west': 1.2}
LIMITS = ScalingLimits(1, 16, BOOT_SECONDS, 0.22, PRICES)


@dataclass
class Task:
    seconds: float
    due: float


@dataclass
class Engine:
    data_centre: str
    is_spot: bool
    serves_at: float
    leaves_at: float | None = None
    is_reclaimed: bool = False
    tasks: list[Task] = field(default_factory=list)


def count_tasks(engine):
    return len(engine.tasks)


def draw_burst(rng, count, now):
    return [
        Task(
            rng.randint(8, 60) * EVENT_TOKENS * TOKEN_SECONDS,
            now + DUE_SECONDS - OVERHEAD_SECONDS,
        )
        for _ in range(count)
    ]


class Simulation:
    """Tasks take slots by due time; a text goes on after a loss."""

    def __init__(self, policy, regular, limits=LIMITS):
        self.policy = policy
        self.limits = limits
        self.now: float = 0
        self.engines = [
            Engine(name, is_spot=False, serves_at=0)
            for name in limits.prices
            for _ in range(regular)
        ]
        self.waiting = []
        self.late = 0
        self.done = 0
        self.cost: float = 0
        self.orders = []
        self.decisions = []
        self.dry_until = dict.fromkeys(limits.prices, float())
        self.blocked_until = {}
        self.is_known = True

    def list_pool(self, data_centre, is_spot):
        return [
            engine
            for engine in self.engines
            if engine.data_centre == data_centre
            and engine.is_spot == is_spot
            and engine.leaves_at is None
        ]

    def count(self, data_centre=None, is_spot=None):
        return sum(
            engine.leaves_at is None
            and data_centre in {None, engine.data_centre}
            and is_spot in {None, engine.is_spot}
            for engine in self.engines
        )

    def reclaim(self, data_centre, dry_seconds=10):
        for engine in self.list_pool(data_centre, is_spot=True):
            engine.leaves_at = self.now + 2
            engine.is_reclaimed = True
        self.dry_until[data_centre] = self.now + 2 + dry_seconds

    def run(self, seconds, burst=lambda now: ()):
        """Run; `burst` returns the tasks that arrive in a tick."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.waiting.extend(burst(self.now))
            self._dispatch()
            if round(self.now / TICK_SECONDS) % DECISION_TICKS == 0:
                self._decide()
            self._advance()

    def make_state(self):
        tasks = [
            *self.waiting,
            *(task for engine in self.engines for task in engine.tasks),
        ]
        demand = Demand(
            tuple(
                TaskDemand(task.seconds / TOKEN_SECONDS, task.due - self.now)
                for task in tasks
            ),
            TOKEN_SECONDS,
            SLOTS,
        )
        return ServiceState(
            self.now,
            self.limits,
            demand if self.is_known else None,
            tuple(
                DataCentreState(
                    name,
                    self._make_pool(name, is_spot=False),
                    self._make_pool(name, is_spot=True),
                )
                for name in self.limits.prices
            ),
        )

    def _make_pool(self, data_centre, is_spot):
        pool = self.list_pool(data_centre, is_spot)
        serving = [engine for engine in pool if engine.serves_at <= self.now]
        leaving = [
            engine
            for engine in self.engines
            if engine.leaves_at is not None
            and engine.data_centre == data_centre
            and engine.is_spot == is_spot
        ]
        blocked_until = self.blocked_until.get((data_centre, is_spot), 0)
        return PoolState(
            serving=len(serving),
            booting=len(pool) - len(serving),
            leaving=len(leaving),
            reclaimed=sum(engine.is_reclaimed for engine in leaving),
            running=sum(len(engine.tasks) for engine in serving),
            is_blocked=self.now < blocked_until,
        )

    def _decide(self):
        decision = self.policy.decide(self.make_state())
        self.decisions.append(decision)
        for target in decision.targets:
            self.orders.append((self.now, target))
            self._apply(target)

    def _apply(self, target):
        pool = self.list_pool(target.data_centre, target.is_spot)
        if target.is_spot and target.count > len(pool):
            if self.now < self.dry_until[target.data_centre]:
                key = (target.data_centre, True)
                self.blocked_until[key] = self.now + 4
                return
        for _ in range(target.count - len(pool)):
            self.engines.append(
                Engine(
                    target.data_centre,
                    target.is_spot,
                    self.now + self.limits.boot_seconds,
                )
            )
        pool.sort(key=count_tasks)
        for engine in pool[: max(len(pool) - target.count, 0)]:
            engine.leaves_at = self.now + 20

    def _dispatch(self):
        self.waiting.sort(key=lambda task: task.due)
        usable = [
            engine
            for engine in self.engines
            if engine.serves_at <= self.now and engine.leaves_at is None
        ]
        while self.waiting and usable:
            engine = min(usable, key=count_tasks)
            if len(engine.tasks) >= SLOTS:
                return
            engine.tasks.append(self.waiting.pop(0))

    def _advance(self):
        self.now += TICK_SECONDS
        for engine in tuple(self.engines):
            self.cost += self._find_price(engine) * TICK_SECONDS
            for task in tuple(engine.tasks):
                task.seconds -= TICK_SECONDS
                if task.seconds <= 0:
                    engine.tasks.remove(task)
                    self.done += 1
                    self.late += self.now > task.due
            if engine.leaves_at is not None and self.now >= engine.leaves_at:
                self.engines.remove(engine)
                self.waiting.extend(engine.tasks)

    def _find_price(self, engine):
        factor = self.limits.spot_price if engine.is_spot else 1
        return factor * self.limits.prices[engine.data_centre]


def make_bursts(smallest, largest, seed=1, every=4, until=1e9):
    """Return bursts of random size at a fixed interval."""
    rng = random.Random(seed)

    def burst(now):
        tick = round(now / TICK_SECONDS)
        if tick % round(every / TICK_SECONDS) or now >= until:
            return ()
        return draw_burst(rng, rng.randint(smallest, largest), now)

    return burst
