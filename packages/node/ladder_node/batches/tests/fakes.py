"""An in-memory deployment on a manual clock."""

import contextlib
import uuid
from collections import defaultdict
from dataclasses import replace

from ladder_clients.objects import ObjectStore
from ladder_clients.replicas import (
    OrderOutcome,
    PermitDenial,
    ReplicaClient,
    TextEvent,
)
from ladder_core.errors import (
    RunFailedError,
    TargetLimitedError,
    TaskRejectedError,
)
from ladder_core.timeline import HybridClock, HybridTime, Timeline
from ladder_core.timers import ManualTimerService, TimerService
from ladder_core.values import (
    CallerLimits,
    Replica,
    Route,
    RouteKind,
    RouteTable,
    ServiceEntry,
    ServiceShare,
)
from ladder_node.batches import (
    BatchApi,
    BatchOwner,
    BatchSpec,
    BatchStore,
    DutyOffer,
    DutyOfferReply,
    OwnerDependencies,
    PathFitness,
    ScorerSpec,
    TaskSpec,
)
from ladder_node.batches.tests.replica_processes import (
    ReplicaProcesses,
    lose,
)
from ladder_node.forwarding import Forwarder, ReplicaSelector
from ladder_node.leases import (
    LeaseCandidate,
    LeaseHolder,
    LeaseManager,
    LeaseTerm,
)
from ladder_node.members import Member
from ladder_node.peer_calls import PeerSender
from ladder_node.quarantine import EvidenceSender, Quarantine, UnlimitedRuns
from ladder_node.replicas import ReplicaRegistry
from ladder_node.routes import (
    ModelVersions,
    RouteCache,
    RouteConfirmation,
    RouteSource,
)
from ladder_policy.routing import RelayCandidate
from ladder_standins.memory_table import MemoryTable

HOST = 'pub.example'
PREFIX = '/notes/'
MODEL = 'cask'
SOFTWARE = 'v1'
EVENT_SECONDS = 0.04
EVENT_TOKENS = 50
TERM = LeaseTerm(
    2,
    0.3,
    0.5,
    takes_over_own_name=True,
    excludes_outages=True,
)


class FakeResponse:
    def __init__(self, status):
        self.status = status
        self.headers = ()

    async def read(self):
        return b'scored'


class ReplicaLimits:
    """Replicas that limit requests to a rate, with what they denied."""

    def __init__(self, timers):
        self.timers = timers
        self.rates = {}
        self.free_at = {}
        self.denials = 0

    def find_denial(self, replica):
        seconds = self.free_at.get(replica.name, 0) - self.timers.now()
        if replica.name not in self.rates or seconds <= 0:
            return None
        return PermitDenial(self.rates[replica.name], seconds)

    def check(self, replica):
        denial = self.find_denial(replica)
        if denial is not None:
            self.denials += 1
            raise TargetLimitedError(
                'no permit', remedy='wait', retry_after=denial.retry_seconds
            )
        rate = self.rates.get(replica.name)
        if rate:
            self.free_at[replica.name] = self.timers.now() + 1 / rate


class FakeEngines(ReplicaClient):
    """
    Engines whose events have the text ``task.number``, and the software version
    of the engine if it is not `SOFTWARE`.

    `lengths` holds the number of events of each task. `faults` holds the
    faults of a task's next runs: an error, or the number of events after which
    the connection is lost. `scores` holds the statuses of the next calls of a
    scorer, and `seconds` the time that an engine needs for an event.
    `processes` ends the process of a replica under requests that crash it.
    """

    def __init__(self, timers, replica_registry, processes):
        self.timers = timers
        self.replica_registry = replica_registry
        self.processes = processes
        self.lengths = {}
        self.faults = {}
        self.scores = {}
        self.seconds = {}
        self.limits = ReplicaLimits(timers)
        self.orders = []
        self.runs = []
        self.calls = []
        self.running = set()
        self.accepted = {}
        self.load_seconds = 1

    def count_idle(self, replica):
        return 0

    def find_rate(self, replica):
        return self.limits.rates.get(replica.name)

    def find_denial(self, replica, priority):
        return self.limits.find_denial(replica)

    def find_signature(self, response):
        return 'signature'

    @contextlib.asynccontextmanager
    async def open(
        self, replica, request, timeout_seconds, *, needs_new_connection=False
    ):
        self.limits.check(replica)
        self.calls.append(request.request_id)
        async with self.processes.run(replica, request.body) as process:
            await process.work()
            statuses = self.scores.get(request.request_id, [])
            yield FakeResponse(statuses.pop(0) if statuses else 200)

    async def generate(self, replica, task):
        self.limits.check(replica)
        run = (replica.name, task.task_id, task.last_event)
        self.runs.append(run)
        self.running.add(run)
        try:
            async with self.processes.run(replica, task.body) as process:
                fault = self.take_fault(task.task_id)
                last = self.lengths.get(task.task_id, 3)
                for number in range(task.last_event + 1, last + 1):
                    if fault is not None and number > fault:
                        raise lose()
                    await self.timers.sleep(
                        self.seconds.get(replica.name, EVENT_SECONDS)
                    )
                    process.check()
                    version = self.find_version(replica)
                    text = (
                        f'{task.task_id}.{number}{self.find_software(replica)}'
                    )
                    yield TextEvent(number, text, version)
        finally:
            self.running.discard(run)

    def find_software(self, replica):
        """Return the software that the texts of an engine show, if any."""
        software = replica.software_version
        return '' if software == SOFTWARE else software

    def find_version(self, replica):
        record = self.replica_registry.find(replica.name)
        known = record.replica if record else replica
        return known.versions[MODEL]

    def take_fault(self, task_id):
        faults = self.faults.get(task_id, [])
        fault = faults.pop(0) if faults else None
        if isinstance(fault, Exception):
            raise fault
        return fault

    async def order_version(self, replica, order):
        self.orders.append((replica.name, order.model, order.version))
        fence, count = self.accepted.get(replica.name, (0, 0))
        if order.fencing_token < fence:
            return OrderOutcome.fenced_off
        if order.orders_before != count:
            return OrderOutcome.busy
        self.accepted[replica.name] = (order.fencing_token, count + 1)
        self.timers.load(replica.name, order, self)
        return OrderOutcome.accepted

    async def read_state(self, replica):
        known = self.replica_registry.find(replica.name).replica
        _, count = self.accepted.get(replica.name, (0, 0))
        return replace(known, accepted_orders=count)


class DeploymentTimers(ManualTimerService):
    """A manual clock that also completes the loads of engines."""

    def __init__(self):
        super().__init__(start=1000)
        self.loads = []

    def load(self, name, order, engines):
        due = self.now() + engines.load_seconds
        self.loads.append((due, name, order, engines))

    def finish_loads(self):
        for load in tuple(self.loads):
            due, name, order, engines = load
            if due <= self.now():
                self.loads.remove(load)
                known = engines.replica_registry.find(name).replica
                versions = {**known.versions, order.model: order.version}
                engines.replica_registry.change(
                    [replace(known, versions=versions)], []
                )


class HostTimers(TimerService):
    """The clock of the deployment, with a wall clock that may be off."""

    def __init__(self, timers):
        self.timers = timers
        self.wall_offset_seconds = 0

    def now(self):
        return self.timers.now()

    async def sleep(self, seconds):
        await self.timers.sleep(seconds)

    def wall_milliseconds(self):
        offset_milliseconds = 1000 * self.wall_offset_seconds
        return self.timers.wall_milliseconds() + offset_milliseconds


class MemoryObjects(ObjectStore):
    def __init__(self):
        self.bodies = {}

    async def put(self, name, body):
        self.bodies[name] = body

    async def get(self, name):
        return self.bodies.get(name)

    async def delete(self, name):
        self.bodies.pop(name, None)


class FakeEvidenceSender(EvidenceSender):
    def __init__(self, name, deployment):
        self.name = name
        self.deployment = deployment

    async def send(self, rows):
        for name, node in self.deployment.nodes.items():
            if name != self.name and not self.deployment.are_peers_cut:
                node.quarantine.receive(rows)


class OfferSender(PeerSender[DutyOffer, DutyOfferReply]):
    def __init__(self, deployment):
        self.deployment = deployment

    async def send(self, address, message):
        if self.deployment.are_offers_lost:
            return None
        owner = self.deployment.nodes[address].owner
        return owner.receive_offer(message)


class FakeRouteSource(RouteSource):
    """The configuration that the operator wrote last."""

    def __init__(self):
        self.table = make_routes()
        self.error = None

    async def read(self):
        if self.error is not None:
            raise self.error
        return self.table


class Node:
    """One node with its batch API, lease manager and batch owner."""

    def __init__(self, name, deployment):
        self.name = name
        self.deployment = deployment
        timers = HostTimers(deployment.timers)
        self.timers = timers
        self.timeline = Timeline(name, HybridClock(timers))
        self.replica_registry = ReplicaRegistry(timers, self.timeline)
        self.routes = RouteCache(self.timeline)
        confirmation = RouteConfirmation(
            self.routes, deployment.route_source, timers, self.timeline
        )
        self.versions = ModelVersions(self.timeline)
        self.store = BatchStore(
            deployment.table, deployment.objects, name, timers
        )
        self.batch_api = BatchApi(self.store, timers, self.timeline)
        self.engines = FakeEngines(
            deployment.timers, self.replica_registry, deployment.processes
        )
        selection = ReplicaSelector(
            self.replica_registry,
            self.engines,
            'leith',
            {'leith': 'lowlands'},
            timers,
        )
        self.quarantine = Quarantine(
            self.replica_registry,
            deployment.crash_table,
            FakeEvidenceSender(name, deployment),
            name,
            timers,
            self.timeline,
            deployment.processes,
        )
        self.forwarder = Forwarder(
            selection,
            self.engines,
            self.quarantine.guard,
            timers,
            self.timeline,
        )
        scoring_forwarder = Forwarder(
            selection,
            self.engines,
            UnlimitedRuns(self.quarantine.detector),
            timers,
            self.timeline,
        )
        self.leases = LeaseManager(
            deployment.table,
            LeaseHolder(name, name),
            timers,
            self.timeline,
            TERM,
        )
        candidate = LeaseCandidate(
            self.leases,
            name,
            lambda: deployment.alive,
            timers,
            0.3,
        )
        eligibility = PathFitness(
            name,
            self.routes,
            lambda: deployment.lost_services[name],
            deployment.list_members,
            deployment.find_node,
            OfferSender(deployment),
            timers,
        )
        dependencies = OwnerDependencies(
            name,
            self.store,
            deployment.table,
            deployment.objects,
            120,
            self.engines,
            scoring_forwarder,
            self.quarantine.detector,
            self.replica_registry,
            self.routes,
            confirmation,
            self.versions,
            lambda: deployment.is_outage_shared,
            eligibility,
            timers,
            self.timeline,
        )
        self.owner = BatchOwner(dependencies, candidate)

    async def start(self):
        await self.quarantine.start()
        await self.leases.start()
        await self.owner.start()

    async def kill(self):
        """Stop all work without releasing the lease, like a power loss."""
        self.owner._lease = None
        await self.owner.close()
        self.leases._held.clear()
        await self.leases.close()

    def list_kinds(self):
        return [one.kind for one in self.timeline.read(HybridTime(), 9999)]

    def list_events(self, kind):
        events = self.timeline.read(HybridTime(), 9999)
        return [one for one in events if one.kind == kind]


class FakeDeployment:
    """Nodes with a shared table and object store, engines and a scorer."""

    def __init__(
        self,
        nodes=('a',),
        engines=2,
        slots=8,
        table=None,
        scorers=1,
        software=(SOFTWARE,),
    ):
        self.timers = DeploymentTimers()
        self.processes = ReplicaProcesses(self.timers)
        self.table = table(self.timers) if table else MemoryTable(self.timers)
        # The scripted faults of `table` count the calls of batches only.
        self.crash_table = MemoryTable(self.timers)
        self.are_peers_cut = False
        self.objects = MemoryObjects()
        self.alive = list(nodes)
        self.route_source = FakeRouteSource()
        self.is_outage_shared = False
        self.are_offers_lost = False
        # Nodes that reach the engines, whatever they have published.
        self.reached_by: set[str] = set()
        # Services that each node has lost its path to.
        self.lost_services: defaultdict[str, tuple[str, ...]] = defaultdict(
            tuple
        )
        self.nodes = {name: Node(name, self) for name in nodes}
        replicas = [
            Replica(
                f'e{number}',
                'brewmind',
                f'e{number}:1',
                'leith',
                slots,
                versions={MODEL: 1},
                software_version=software[number % len(software)],
            )
            for number in range(engines)
        ]
        names = ['s', *(f's{number}' for number in range(1, scorers))]
        replicas.extend(
            Replica(name, 'taproom', f'{name}:1', 'leith', 6) for name in names
        )
        for node in self.nodes.values():
            node.replica_registry.replace(replicas, 0)
            node.routes.offer(make_routes())
            self.processes.registries.append(node.replica_registry)

    async def start(self):
        for node in self.nodes.values():
            await node.start()
        await self.advance(1)

    async def close(self):
        for node in self.nodes.values():
            await node.owner.close()
            await node.leases.close()
            await node.quarantine.close()

    async def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            await self.timers.advance(0.05)
            self.timers.finish_loads()
            self.processes.restart_due()

    def list_members(self):
        return [
            Member(name, '', '', '', '', lost_services=self.lost_services[name])
            for name in self.alive
        ]

    async def find_node(self, service):
        return next(
            (
                RelayCandidate(name, name)
                for name in self.alive
                if service not in self.lost_services[name]
                and name in (self.reached_by or self.alive)
            ),
            None,
        )

    async def submit(self, spec, node='a'):
        chosen = self.nodes[node]
        route = chosen.routes.require().find_route(HOST, PREFIX)
        assert route is not None
        await chosen.batch_api.accept(spec, route)

    async def read(self, batch_id, start=0, node='a'):
        page = await self.nodes[node].batch_api.read(batch_id, start, 0)
        return page.results


def make_routes(revision=1, **fields):
    notes = {
        'timeout_seconds': 10,
        'max_attempts': 3,
        'step_seconds': 7.5,
        'retention_seconds': 40,
        **fields,
    }
    routes = [
        Route(
            'notes',
            HOST,
            PREFIX,
            RouteKind.batch,
            (ServiceShare('brewmind'),),
            **notes,
        ),
        Route(
            'score',
            HOST,
            '/score/',
            RouteKind.idempotent,
            (ServiceShare('taproom'),),
            max_attempts=4,
        ),
    ]
    services = [
        ServiceEntry('brewmind', slots=8, tokens_per_event=EVENT_TOKENS),
        ServiceEntry('taproom'),
    ]
    return RouteTable(revision, routes, services, CallerLimits())


def make_batch(batch_id='b', groups=1, size=4, **fields):
    tasks = tuple(
        make_task(f'{batch_id}-g{group}-{number}', f'{batch_id}-g{group}')
        for group in range(groups)
        for number in range(size)
    )
    settings = {
        'step': 1,
        'model': MODEL,
        'min_version': 1,
        'target_groups': groups,
        'tasks': tasks,
        **fields,
    }
    return BatchSpec(batch_id, HOST, PREFIX, **settings)


def make_task(task_id, group, expected_tokens=150):
    return TaskSpec(
        task_id,
        group,
        f'{PREFIX}{task_id}',
        (('Host', HOST),),
        b'prompt',
        MODEL,
        100,
        10000,
        expected_tokens,
        ScorerSpec(f'score-{task_id}', HOST, '/score/1', b''),
    )


def fail_run():
    return RunFailedError('failed', remedy='run again')


def reject():
    return TaskRejectedError('rejected', remedy='submit another')


def make_id():
    return uuid.uuid4().hex
