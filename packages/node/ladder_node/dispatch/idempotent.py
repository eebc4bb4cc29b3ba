"""Run calls with an idempotency key at most once over nodes and retries."""

import msgspec
from prometheus_client import Counter

from ladder_clients.services import ServiceRequest, ServiceResponse
from ladder_core.errors import (
    AnswerNotKeptError,
    InProgressError,
    KeyReusedError,
    LadderError,
    MayHaveRunError,
    NotRunError,
)
from ladder_core.timeline import Timeline
from ladder_node.dispatch.intent import (
    Intent,
    IntentKey,
    IntentState,
    make_answered_intent,
    make_fingerprint,
)
from ladder_node.dispatch.intent_log import IntentLog
from ladder_node.dispatch.services import ServiceDispatcher

_MAX_RESPONSE_BYTES = 16_384
_RETRY_AFTER_SECONDS = 1

_CALLS = Counter(
    'ladder_keyed_calls',
    'Calls with an idempotency key, by what became of them',
    ['outcome'],
)


class IdempotentDispatcher:
    """
    Dispatch calls with an idempotency key.

    Explanation
    -----------
    An intent row is inserted for the key before the call is sent. Only the
    request that inserted the row sends the call; a repeated key gets the stored
    response or an error.

    Parameters
    ----------
    services : ServiceDispatcher
        Sends the calls to services.
    intents : IntentLog
        Inserts the intent rows, which decides who may send a call.
    timeline : Timeline
        Records calls whose outcome is unknown.

    """

    def __init__(
        self,
        services: ServiceDispatcher,
        intents: IntentLog,
        timeline: Timeline,
    ) -> None:
        self._services = services
        self._intents = intents
        self._timeline = timeline

    async def call(
        self, key: IntentKey, request: ServiceRequest
    ) -> ServiceResponse:
        """
        Make a call that runs at most once for its key.

        Parameters
        ----------
        key : IntentKey
            The caller's key in its scope; its pool is the service's.
        request : ServiceRequest
            The call, sent to the service as it is.

        Returns
        -------
        ServiceResponse
            The service's response; for a repeated key the stored response.

        Raises
        ------
        NotRunError
            The call was not run; the same key may be sent again.
        KeyReusedError
            The key was used for another request; this call was not run.
        MayHaveRunError
            The call with this key may have run.
        AnswerNotKeptError
            The call ran, but its response was too long to store.

        """
        intent = self._intents.make_intent(make_fingerprint(request))
        row = await self._intents.insert(key, intent)
        if row is not intent:
            _CALLS.labels('repeated').inc()
            return _replay_response(row, intent.fingerprint)
        try:
            response = await self._services.call(key.pool, request)
        except NotRunError:
            _CALLS.labels('not-run').inc()
            await self._intents.release(key, intent)
            raise
        except BaseException:
            self._store_undecided(key, intent)
            raise
        _CALLS.labels('answered').inc()
        self._intents.store_outcome(
            key, make_answered_intent(intent, response, _MAX_RESPONSE_BYTES)
        )
        return response

    def _store_undecided(self, key: IntentKey, intent: Intent) -> None:
        _CALLS.labels('may-have-run').inc()
        self._timeline.record('call-undecided', key.pool, plan=key.plan)
        undecided = msgspec.structs.replace(
            intent,
            state=IntentState.undecided,
        )
        self._intents.store_outcome(key, undecided)


def _replay_response(row: Intent, fingerprint: str) -> ServiceResponse:
    if row.fingerprint != fingerprint:
        raise KeyReusedError(
            'the idempotency key was used for another request',
            remedy='send a new key with a new request',
        )
    if row.state is IntentState.answered:
        return ServiceResponse(row.status, row.body, row.content_type)
    raise _make_error(row)


def _make_error(row: Intent) -> LadderError:
    if row.state is IntentState.answered_at_length:
        return AnswerNotKeptError(
            f'the call ran and was answered with status {row.status}; '
            'the answer was too long to keep',
            remedy='ask the service for the result',
        )
    if row.state is IntentState.undecided:
        return MayHaveRunError(
            'the call was sent and its outcome is unknown',
            remedy='ask the service whether it took effect',
        )
    return InProgressError(
        'a call with this key was begun and is not yet decided',
        remedy='send the same key again for its answer; if it stays '
        'undecided, ask the service whether it took effect',
        retry_after=_RETRY_AFTER_SECONDS,
    )
