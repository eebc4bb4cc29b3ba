"""Calls to services that score samples."""

import msgspec

from ladder_clients.services.client import ServiceClient, ServiceRequest
from ladder_core.errors import TargetLostError

_OK = 200


class _ScoreRequest(msgspec.Struct, frozen=True):
    """A sample to score."""

    prompt: str
    text: str


class _Score(msgspec.Struct, frozen=True):
    """The scorer's verdict."""

    score: float


class ScorerClient:
    """
    Scores samples; scoring is idempotent.

    Parameters
    ----------
    services : ServiceClient
        Makes the calls.

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
        Score one sample.

        Parameters
        ----------
        address : str
            ``ip:port`` of the scorer.
        request_id : str
            Identifies this dispatch.
        prompt, text : str
            The sample.

        Returns
        -------
        float
            The score.

        Raises
        ------
        TargetUnavailableError
            The request was not sent.
        MayHaveRunError
            No answer arrived; scoring again is harmless.

        """
        body = msgspec.json.encode(_ScoreRequest(prompt, text))
        request = ServiceRequest(request_id, 'POST', '/v1/score', body)
        answer = await self._services.call(address, request)
        if answer.status != _OK:
            raise TargetLostError(
                f'scorer {address} answered with status {answer.status}',
                remedy='ask another scorer',
            )
        return msgspec.json.decode(answer.body, type=_Score).score
