"""
Models of the forms of build f8270e4.

Written by ``tests.compatibility.freeze``; not edited by hand.
"""

import dataclasses
from enum import StrEnum

import msgspec


class LeaseRow(msgspec.Struct, frozen=True):
    holder: str = ''
    address: str = ''
    incarnation: str = ''
    epoch: int = 0
    successor: str = ''


class Heartbeat(msgspec.Struct, frozen=True):
    holder: str
    count: int


class Member(msgspec.Struct, frozen=True):
    name: str
    address: str
    data_centre: str
    region: str
    incarnation: str
    beats: int = 0
    is_leaving: bool = False
    pause_seconds: float = 0
    peer_address: str = ''
    capacity: float = 1
    service_wrote_at: int | None = None
    lost_services: tuple[str, ...] = ()


class BatchHead(msgspec.Struct, frozen=True):
    total: int
    pieces: int
    accepted_at: int
    node: str
    step_seconds: float
    retention_seconds: float
    service_accepted_at: int | None = None


class ScorerSpec(msgspec.Struct, frozen=True, array_like=True):
    call_id: str
    host: str
    target: str
    body: bytes


class TaskSpec(msgspec.Struct, frozen=True, array_like=True):
    task_id: str
    group: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    model: str = ''
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    scorer: ScorerSpec | None = None


class BatchSpec(msgspec.Struct, frozen=True, array_like=True):
    batch_id: str
    host: str
    prefix: str
    step: int
    model: str
    min_version: int
    target_groups: int
    tasks: tuple[TaskSpec, ...]


class TaskState(StrEnum):
    completed = 'completed'
    given_up = 'given-up'


class TaskResult(msgspec.Struct, frozen=True):
    task_id: str
    state: TaskState
    text: str = ''
    versions: tuple[int, ...] = ()
    score: str = ''


class Piece(msgspec.Struct, frozen=True, array_like=True):
    first: int
    parts: list[str]
    versions: list[int]
    software_id: str = ''


class OwnerRow(msgspec.Struct, frozen=True):
    node: str
    epoch: int


class IntentState(StrEnum):
    open = 'open'
    released = 'released'
    undecided = 'undecided'
    answered = 'answered'
    answered_at_length = 'answered-at-length'


class Intent(msgspec.Struct, frozen=True):
    fingerprint: str
    token: str
    created_ms: int
    state: IntentState = IntentState.open
    status: int = 0
    body: bytes = b''
    content_type: str = ''


class Refusal(msgspec.Struct, frozen=True):
    created_ms: int


class Evidence(msgspec.Struct, frozen=True):
    node: str
    at: int
    service_at: int | None = None


class OpenStep(msgspec.Struct, frozen=True):
    step: int
    digest: str
    runs: tuple[str, ...] = ()


class TrainerRecord(msgspec.Struct, frozen=True):
    closed_to: int = -1
    steps: tuple[OpenStep, ...] = ()


class HeadlineMetric(StrEnum):
    idle = 'idle'
    staleness = 'staleness'


@dataclasses.dataclass(frozen=True)
class Plan:
    name: str
    customer: str
    secret_sha256: str
    trainer: str = ''
    samples_per_step: int = 0
    staleness_versions: int = 0
    weighs: HeadlineMetric = HeadlineMetric.idle
    requests_per_second: float = 10
    tokens_per_second: float = 1000


@dataclasses.dataclass(frozen=True)
class Allowance:
    plan: str
    pools: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()
    max_replicas: int = 1


@dataclasses.dataclass(frozen=True)
class Lists:
    revision: int = 0
    plans: tuple[Plan, ...] = ()
    allowances: tuple[Allowance, ...] = ()
    author: str = ''
    token: str = ''


class DifferenceKind(StrEnum):
    added = 'added'
    removed = 'removed'
    changed = 'changed'


@dataclasses.dataclass(frozen=True)
class Difference:
    kind: DifferenceKind
    entry: str
    details: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ListsChange:
    revision: int
    author: str
    differences: tuple[Difference, ...]


@dataclasses.dataclass(frozen=True)
class StepSpec:
    plan: str
    trainer: str
    step: int
    model: str
    prompts: tuple[str, ...]
    samples_per_group: int
    max_tokens: int


@dataclasses.dataclass(frozen=True)
class VersionSpan:
    version: int
    tokens: int


@dataclasses.dataclass(frozen=True)
class Sample:
    index: int
    text: str
    spans: tuple[VersionSpan, ...]
    score: float


@dataclasses.dataclass(frozen=True)
class Group:
    index: int
    samples: tuple[Sample, ...]


class HybridTime(msgspec.Struct, frozen=True, array_like=True):
    milliseconds: int = 0
    counter: int = 0


class Sender(msgspec.Struct, frozen=True, array_like=True):
    name: str
    data_centre: str
    stamp: HybridTime


class Fact(msgspec.Struct, frozen=True, array_like=True):
    kind: str
    key: str
    ttl_seconds: float
    body: bytes = b''
    is_lasting: bool = True
    is_fleet_wide: bool = True
    stamp: HybridTime = HybridTime()
    origin: str = ''


class Push(msgspec.Struct, frozen=True, array_like=True, tag=1):
    sender: Sender
    revision: int
    digest: int
    facts: tuple[Fact, ...] = ()
    is_answer: bool = False


class FactHeader(msgspec.Struct, frozen=True, array_like=True):
    kind: str
    key: str
    stamp: HybridTime
    origin: str


class Summary(msgspec.Struct, frozen=True, array_like=True, tag=2):
    sender: Sender
    held: tuple[FactHeader, ...]
    is_answer: bool = False


class ListsRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    sender: Sender


class ListsResponse(msgspec.Struct, frozen=True, array_like=True, tag=4):
    sender: Sender
    lists: Lists


class NodeState(msgspec.Struct, frozen=True, array_like=True):
    region: str
    data_centre: str
    peer_address: str
    requests: int


class LeavingState(msgspec.Struct, frozen=True, array_like=True):
    is_leaving: bool


class LeavingTarget(msgspec.Struct, frozen=True, array_like=True):
    address: str


class VersionDoubt(msgspec.Struct, frozen=True, array_like=True):
    address: str


class DutyOffer(msgspec.Struct, frozen=True, array_like=True):
    duty: str


class DutyOfferReply(msgspec.Struct, frozen=True, array_like=True):
    is_accepted: bool


class EvidenceRow(msgspec.Struct, frozen=True, array_like=True):
    key: str
    body: str | None


class PermitApplication(msgspec.Struct, frozen=True, array_like=True):
    node: str
    process: tuple[str, int]
    rate: float | None
    age_seconds: float
    priority: int


class PermitOutcome(StrEnum):
    granted = 'granted'
    denied = 'denied'
    unlimited = 'unlimited'
    misdirected = 'misdirected'


class PermitReply(msgspec.Struct, frozen=True, array_like=True):
    outcome: PermitOutcome
    free_seconds: float = 0
    retry_seconds: float = 0


class PathQuestion(msgspec.Struct, frozen=True, array_like=True):
    replicas: tuple[str, ...]
    needs_proof: bool = False


class PathReply(msgspec.Struct, frozen=True, array_like=True):
    reached: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()


class RelayedExchange(msgspec.Struct, frozen=True, array_like=True):
    replica: str
    started_at: int
    request_id: str
    runs_once: bool
    timeouts: tuple[float | None, float]
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class RelayOutcome(StrEnum):
    answered = 'answered'
    not_sent = 'not_sent'
    unable = 'unable'
    silent = 'silent'
    broken = 'broken'


class RelayedHead(msgspec.Struct, frozen=True, array_like=True):
    outcome: RelayOutcome
    reason: str = ''
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()


class RelayedCall(msgspec.Struct, frozen=True, array_like=True):
    method: str
    target: str
    body: bytes
    is_read: bool
    wait_seconds: float


class RelayedResponse(msgspec.Struct, frozen=True, array_like=True):
    status: int
    body: bytes = b''
    is_undone: bool = False


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    service: str
    software_id: str


class OriginMessage(msgspec.Struct, frozen=True, array_like=True):
    attempt: str
    origin: StreamOrigin | None = None


class OriginReply(msgspec.Struct, frozen=True, array_like=True):
    origin: StreamOrigin | None = None


MODELS = {
    'row-lease': LeaseRow,
    'row-heartbeat': Heartbeat,
    'row-member': Member,
    'row-batch-head': BatchHead,
    'row-batch-tasks': BatchSpec,
    'row-batch-result': TaskResult,
    'row-batch-positions': tuple[str, ...],
    'row-batch-draft': Piece,
    'row-batch-owner': OwnerRow,
    'row-intent': Intent,
    'row-refused-request': Refusal,
    'row-request-crash': Evidence,
    'row-steps': TrainerRecord,
    'row-lists': Lists,
    'row-lists-change': ListsChange,
    'object-step-spec': StepSpec,
    'object-step-groups': tuple[Group, ...],
    'gossip-push': Push,
    'gossip-summary': Summary,
    'gossip-lists-request': ListsRequest,
    'gossip-lists-response': ListsResponse,
    'fact-node': NodeState,
    'fact-node-leaving': LeavingState,
    'fact-target-leaving': LeavingTarget,
    'fact-version-doubt': VersionDoubt,
    'call-duty-offer': DutyOffer,
    'call-duty-offer-reply': DutyOfferReply,
    'call-crashes': tuple[EvidenceRow, ...],
    'call-permit': PermitApplication,
    'call-permit-reply': PermitReply,
    'call-replica-paths': PathQuestion,
    'call-replica-paths-reply': PathReply,
    'call-replica-relay': RelayedExchange,
    'call-replica-relay-head': RelayedHead,
    'call-store-relay': RelayedCall,
    'call-store-relay-response': RelayedResponse,
    'call-stream-origin': OriginMessage,
    'call-stream-origin-reply': OriginReply,
}
