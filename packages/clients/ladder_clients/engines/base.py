"""The contract of a client of model engines."""

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
    """Generates on engines and gives them orders."""

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
            What to generate.

        Raises
        ------
        TargetUnavailableError
            The request was not sent.
        TargetRefusedError
            The engine answered that it does not take the request.
        AnswerCorruptError
            Tokens are missing, so the stream cannot be continued.
        TargetLostError
            The connection broke, or the stream ended without its end
            marker, or carried another request's chunk.
        TargetTimeoutError
            The stream fell silent.

        """

    @abstractmethod
    async def cancel(self, address: str, request_id: str) -> None:
        """
        Cancel a generation; an unknown id is no error.

        Raises
        ------
        TransportError
            The engine does not answer.

        """

    @abstractmethod
    async def read_state(self, address: str) -> EngineState:
        """
        Return the engine's own word on its state.

        Raises
        ------
        TransportError
            The engine does not answer.

        """

    @abstractmethod
    async def order(self, address: str, order: Order) -> OrderResponse:
        """
        Give an order.

        Raises
        ------
        TransportError
            The engine does not answer; the order may take effect later.

        """
