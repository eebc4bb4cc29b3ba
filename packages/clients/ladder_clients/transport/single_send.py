"""Keep aiohttp from sending a request twice, and see how far it came."""

from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp


@dataclass(slots=True)
class Progress:
    """
    How far an exchange came.

    Attributes
    ----------
    is_connected : bool
        Whether a connection was made; without one nothing was sent.

    """

    is_connected: bool = False


class BrokenExchangeError(Exception):
    """
    Carries an error past the retry of aiohttp, which handles only its own.

    Parameters
    ----------
    cause : Exception
        The error of aiohttp.

    """

    def __init__(self, cause: Exception) -> None:
        super().__init__(str(cause))
        self.cause = cause


async def send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """
    Send a request as a middleware of aiohttp.

    Raises
    ------
    BrokenExchangeError
        The exchange failed; aiohttp does not send it again.

    """
    try:
        return await handler(request)
    except aiohttp.ClientError as error:
        raise BrokenExchangeError(error) from error


def make_trace() -> aiohttp.TraceConfig:
    """Return a trace that keeps the `Progress` of each exchange."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_note_connection)
    return trace


async def _note_connection(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    context.trace_request_ctx.is_connected = True
