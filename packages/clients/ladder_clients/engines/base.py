"""Interface of clients of model engines."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

from ladder_clients.engines.wire import (
    Chunk,
    EngineState,
    GenerateRequest,
    Order,
    OrderResponse,
)


class EngineClient(ABC):
    """Client that runs generations on engines and sends them orders."""

    @abstractmethod
    def generate(
        self,
        address: str,
        request: GenerateRequest,
    ) -> AsyncIterator[Chunk]:
        """
        Run a generation and yield its chunks, the end marker last.

        Parameters
        ----------
        address : str
            ``ip:port`` of the engine.
        request : GenerateRequest
            Prompt and parameters of the generation.

        Raises
        ------
        TargetUnavailableError
            The request was not sent.
        TargetRefusedError
            The engine refused the request.
        AnswerCorruptError
            The stream lacks tokens, so the generation cannot be resumed.
        TargetLostError
            The engine failed, the connection broke, the stream ended without
            its end marker, or a line was malformed or of another request.
        TargetTimeoutError
            Nothing was received within the time-out.

        """

    @abstractmethod
    async def cancel(self, address: str, request_id: str) -> None:
        """
        Cancel a generation; do nothing if the engine does not know it.

        Parameters
        ----------
        address : str
            ``ip:port`` of the engine.
        request_id : str
            Id of the `GenerateRequest` to cancel.

        Raises
        ------
        TransportError
            The engine does not answer.

        """

    @abstractmethod
    async def read_state(self, address: str) -> EngineState:
        """
        Read the state of an engine from the engine itself.

        Parameters
        ----------
        address : str
            ``ip:port`` of the engine.

        Raises
        ------
        TransportError
            The engine does not answer.

        """

    @abstractmethod
    async def order(self, address: str, order: Order) -> OrderResponse:
        """
        Send an order to an engine.

        Parameters
        ----------
        address : str
            ``ip:port`` of the engine.
        order : Order
            State that the engine has to reach.

        Raises
        ------
        TransportError
            The engine does not answer; the order may take effect later.

        """
