"""
Registry of the forms that two builds exchange.

Notes
-----
docs/UPGRADES.md says how a form may grow and how one is added. Models are
named by their import path, so that `freeze` can read this registry with the
code of an earlier build, which lacks some of them.

"""

import importlib
from dataclasses import dataclass
from enum import StrEnum
from functools import reduce
from types import GenericAlias
from typing import Any, cast

import msgspec


class Encoding(StrEnum):
    """Encoding of a form."""

    json = 'json'
    msgpack = 'msgpack'


@dataclass(frozen=True, slots=True)
class Form:
    """
    A row, message or object that one build writes and another one reads.

    Attributes
    ----------
    name : str
        Identifies the form; also the name of its file of examples.
    path : str
        Module and name of the model, joined by a colon.
    encoding : Encoding
        How the model is encoded.
    is_list : bool
        Whether a list of the model is encoded.

    """

    name: str
    path: str
    encoding: Encoding = Encoding.json
    is_list: bool = False

    @property
    def model(self) -> Any:
        """Model that the code of this build encodes and decodes."""
        model = resolve(self.path)
        return GenericAlias(tuple, (model, ...)) if self.is_list else model


@dataclass(frozen=True, slots=True)
class Name:
    """
    A constant, or a key made by a function, that builds must agree on.

    Attributes
    ----------
    path : str
        Module and name of the constant or function, joined by a colon.
    arguments : tuple
        Arguments of the function; none for a constant.

    """

    path: str
    arguments: tuple[str | int, ...] = ()

    @property
    def label(self) -> str:
        """Name without the module, which may move, and with the arguments."""
        arguments = ', '.join(map(str, self.arguments))
        return f'{self.path.partition(":")[2]}({arguments})'

    def find_value(self) -> str | int:
        """Return the constant, or what the function makes."""
        found: Any = resolve(self.path)
        if self.arguments:
            found = found(*self.arguments)
        return cast(str | int, found)


FORMS = (
    # Rows of the table service.
    Form('row-lease', 'ladder_node.leases.rows:LeaseRow'),
    Form('row-heartbeat', 'ladder_node.leases.rows:Heartbeat'),
    Form('row-member', 'ladder_node.members.rows:Member'),
    Form('row-batch-head', 'ladder_node.batches.records:BatchHead'),
    Form('row-batch-tasks', 'ladder_node.batches.spec:BatchSpec'),
    Form('row-batch-result', 'ladder_node.batches.records:TaskResult'),
    Form('row-batch-positions', 'builtins:str', is_list=True),
    Form('row-batch-draft', 'ladder_node.batches.drafts:_Piece'),
    Form('row-batch-owner', 'ladder_node.batches.records:OwnerRow'),
    Form('row-intent', 'ladder_node.dispatch.intent:Intent'),
    Form(
        'row-refused-request',
        'ladder_node.dispatch.shared_suspect_registry:_Refusal',
    ),
    Form('row-request-crash', 'ladder_node.quarantine.rows:_Evidence'),
    Form('row-stream-origin', 'ladder_node.stream_origins.rows:OriginRow'),
    Form('row-steps', 'ladder_node.steps.records:TrainerRecord'),
    Form('row-usage-counts', 'ladder_node.usage.rows:CountsRow'),
    Form('row-usage-report', 'ladder_node.usage.rows:ReportRow'),
    Form('row-usage-progress', 'ladder_node.usage.rows:ProgressRow'),
    Form('row-lists', 'ladder_core.values:Lists'),
    Form('row-lists-change', 'ladder_clients.configuration.store:ListsChange'),
    # Objects of the object store; large batches have the form of their rows.
    Form('object-step-spec', 'ladder_node.steps.spec:StepSpec'),
    Form('object-step-groups', 'ladder_core.values:Group', is_list=True),
    # Gossip.
    Form('gossip-push', 'ladder_node.peers.messages:Push', Encoding.msgpack),
    Form(
        'gossip-summary', 'ladder_node.peers.messages:Summary', Encoding.msgpack
    ),
    Form(
        'gossip-lists-request',
        'ladder_node.peers.messages:ListsRequest',
        Encoding.msgpack,
    ),
    Form(
        'gossip-lists-response',
        'ladder_node.peers.messages:ListsResponse',
        Encoding.msgpack,
    ),
    Form('fact-node', 'ladder_node.peers.nodes:NodeState', Encoding.msgpack),
    Form(
        'fact-node-leaving',
        'ladder_node.peers.nodes:LeavingState',
        Encoding.msgpack,
    ),
    Form(
        'fact-target-leaving',
        'ladder_node.peers.leaving:LeavingTarget',
        Encoding.msgpack,
    ),
    Form(
        'fact-version-doubt',
        'ladder_node.duties.doubts:VersionDoubt',
        Encoding.msgpack,
    ),
    # Calls between nodes.
    Form(
        'call-duty-offer',
        'ladder_node.batches.offers:DutyOffer',
        Encoding.msgpack,
    ),
    Form(
        'call-duty-offer-reply',
        'ladder_node.batches.offers:DutyOfferReply',
        Encoding.msgpack,
    ),
    Form(
        'call-crashes',
        'ladder_node.quarantine.peers:EvidenceRow',
        Encoding.msgpack,
        is_list=True,
    ),
    Form(
        'call-permit',
        'ladder_node.rate_limits.issuer:PermitApplication',
        Encoding.msgpack,
    ),
    Form(
        'call-permit-reply',
        'ladder_node.rate_limits.issuer:PermitReply',
        Encoding.msgpack,
    ),
    Form(
        'call-replica-paths',
        'ladder_node.replica_paths.messages:PathQuestion',
        Encoding.msgpack,
    ),
    Form(
        'call-replica-paths-reply',
        'ladder_node.replica_paths.messages:PathReply',
        Encoding.msgpack,
    ),
    Form(
        'call-replica-relay',
        'ladder_node.replica_relay.messages:RelayedExchange',
        Encoding.msgpack,
    ),
    Form(
        'call-replica-relay-head',
        'ladder_node.replica_relay.messages:RelayedHead',
        Encoding.msgpack,
    ),
    Form('call-room', 'ladder_node.room.peers:RoomQuestion', Encoding.msgpack),
    Form(
        'call-room-reply', 'ladder_node.room.peers:RoomReply', Encoding.msgpack
    ),
    Form(
        'call-capacities',
        'ladder_node.capacity_sharing.messages:CapacityQuestion',
        Encoding.msgpack,
    ),
    Form(
        'call-capacities-reply',
        'ladder_node.capacity_sharing.messages:CapacityReply',
        Encoding.msgpack,
    ),
    Form(
        'call-store-relay',
        'ladder_node.store_relay.messages:RelayedCall',
        Encoding.msgpack,
    ),
    Form(
        'call-store-relay-response',
        'ladder_node.store_relay.messages:RelayedResponse',
        Encoding.msgpack,
    ),
    Form(
        'call-stream-origin',
        'ladder_node.stream_origins.peers:OriginMessage',
        Encoding.msgpack,
    ),
    Form(
        'call-stream-origin-reply',
        'ladder_node.stream_origins.peers:OriginReply',
        Encoding.msgpack,
    ),
)

NAMES = (
    # Tables and their partitions.
    Name('ladder_node.leases.rows:LEASES_TABLE'),
    Name('ladder_node.leases.rows:HEARTBEATS_TABLE'),
    Name('ladder_node.members.rows:MEMBERS_TABLE'),
    Name('ladder_node.members.rows:MEMBERS_PART'),
    Name('ladder_node.batches.records:BATCHES_TABLE'),
    Name('ladder_node.batches.records:TASKS_TABLE'),
    Name('ladder_node.batches.records:RESULTS_TABLE'),
    Name('ladder_node.batches.records:POSITIONS_TABLE'),
    Name('ladder_node.batches.records:DRAFTS_TABLE'),
    Name('ladder_node.batches.records:OWNERS_TABLE'),
    Name('ladder_node.batches.records:SHARD_COUNT'),
    Name('ladder_node.batches.records:find_shard', ('7c41e09b52d6a3f8',)),
    Name('ladder_node.batches.fence:_OWNER_KEY'),
    Name('ladder_node.dispatch.intent:INTENT_TABLE'),
    Name('ladder_node.dispatch.intent:SHARD_CHARACTERS'),
    Name('ladder_node.dispatch.shared_suspect_registry:REFUSED_TABLE'),
    Name('ladder_node.quarantine.writer:CRASHES_TABLE'),
    Name('ladder_node.quarantine.rows:_CRASH'),
    Name('ladder_node.quarantine.rows:_TRIAL'),
    Name('ladder_node.stream_origins.rows:ORIGINS_TABLE'),
    Name('ladder_node.stream_origins.rows:ORIGINS_PART'),
    Name('ladder_node.usage.rows:COUNTS_TABLE'),
    Name('ladder_node.usage.rows:REPORTS_TABLE'),
    Name('ladder_node.usage.rows:PROGRESS_KEY'),
    Name('ladder_node.steps.records:STEPS_TABLE'),
    Name('ladder_clients.configuration.store:_TABLE'),
    Name('ladder_clients.configuration.store:_LISTS_KEY'),
    Name('ladder_clients.configuration.store:_REVISION_KEY'),
    # Keys of rows and names of objects.
    Name('ladder_clients.configuration.store:_make_change_key', (7,)),
    Name('ladder_node.batches.records:make_end_key', ('b',)),
    Name('ladder_node.batches.records:make_result_key', ('b', 7, 2)),
    Name('ladder_node.batches.records:OBJECT_PREFIX'),
    Name('ladder_node.steps.store:_make_object_name', ('t', 3, 'spec')),
    Name('ladder_node.steps.store:make_batch_name', ('r', 4)),
    # Leases.
    Name('ladder_node.batches.owner:DUTY'),
    # Calls between nodes, and kinds of facts.
    Name('ladder_node.batches.offers:OFFER_PATH'),
    Name('ladder_node.quarantine.peers:EVIDENCE_PATH'),
    Name('ladder_node.rate_limits.peers:PERMIT_PATH'),
    Name('ladder_node.replica_paths.messages:PATH_PATH'),
    Name('ladder_node.room.peers:ROOM_PATH'),
    Name('ladder_node.capacity_sharing.messages:CAPACITY_PATH'),
    Name('ladder_node.replica_relay.messages:REPLICA_RELAY_PATH'),
    Name('ladder_node.replica_relay.messages:HEAD_LENGTH_BYTES'),
    Name('ladder_node.store_relay.client:RELAY_PATH'),
    Name('ladder_node.stream_origins.peers:ORIGIN_PATH'),
    Name('ladder_node.duties.doubts:_KIND'),
    Name('ladder_node.peers.facts:FactKind', ('node',)),
    Name('ladder_node.peers.facts:FactKind', ('node-leaving',)),
    Name('ladder_node.peers.facts:FactKind', ('target-leaving',)),
    Name('ladder_node.peers.facts:FactKind', ('suspect',)),
    # Headers of callers that may reach nodes of both builds in turn.
    Name('ladder_node.entry.requests:_IDEMPOTENCY_KEY_HEADER'),
    Name('ladder_clients.transport.client:ORIGIN_HEADER'),
)

# Models of `ladder_node` that no node of another build reads: bodies of the
# responses to callers and operators.
UNEXCHANGED_MODULES = (
    'ladder_node.entry.completion_messages',
    'ladder_node.entry.operations',
    'ladder_node.entry.problems',
    'ladder_node.entry.step_messages',
)


def resolve(path: str) -> Any:
    """
    Return what an import path names.

    Raises
    ------
    ImportError, AttributeError
        The build has no such module or name.

    """
    module, _, name = path.partition(':')
    return reduce(getattr, name.split('.'), importlib.import_module(module))


def encode(form: Form, message: Any) -> bytes:
    """Return the encoding of a message of a form."""
    if form.encoding is Encoding.json:
        return msgspec.json.encode(message)
    return msgspec.msgpack.encode(message)


def decode(form: Form, encoded: bytes, model: Any) -> Any:
    """
    Return the message of a model that some bytes hold.

    Raises
    ------
    msgspec.DecodeError
        The model can't be read from the bytes.

    """
    if form.encoding is Encoding.json:
        return msgspec.json.decode(encoded, type=model)
    return msgspec.msgpack.decode(encoded, type=model)
