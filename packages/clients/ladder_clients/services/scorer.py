"""Client of services that score samples."""

import msgspec

from ladder_clients.services.client import ServiceClient, ServiceRequest
from ladder_core.errors import TargetLostError
from ladder_core.messages import decode_json

_OK_STATUS = 200


class _ScoreRequest(msgspec.Struct, frozen=True):
    """Body of a request for the score of a sample."""

    prompt: str
    text: str


class _Score(msgspec.Struct, frozen=True):
    """Body of the response of a scorer."""

    score: float


class ScorerClient:
    """
    Client of scorers; scoring is idempotent.

    Parameters
    ----------
    services : ServiceClient
        Client that makes the calls.

    """

    def __init__(self, services: ServiceClient) -> None:
        self._services = services

    async def score(
        self,
        address: str,
        request_id: str,
        prompt: str,
        text: str,
    ) -> float:
        """
        Return the score of one sample.

        Parameters
        ----------
        address : str
            ``ip:port`` of the scorer.
        request_id : str
            Identifies this attempt; the scorer echoes it.
        prompt, text : str
            Prompt of the sample, and the text that was generated for it.

        Returns
        -------
        float
            The score.

        Raises
        ------
        TargetUnavailableError
            The request was not sent.
        MayHaveRunError
            No valid response arrived; the call can be retried, because
            scoring is idempotent.

        """
        body = msgspec.json.encode(_ScoreRequest(prompt, text))
        request = ServiceRequest(request_id, 'POST', '/v1/score', body)
        response = await self._services.call(address, request)
        if response.status != _OK_STATUS:
            raise TargetLostError(
                f'scorer {address} answered with status {response.status}',
                remedy='ask another scorer',
            )
        return decode_json(response.body, _Score).score
