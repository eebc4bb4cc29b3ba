"""Middleware and trace that make aiohttp send a request at most once."""

from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp


@dataclass(slots=True)
class Progress:
    """
    Progress of an exchange, filled in by the trace.

    Attributes
    ----------
    is_connected : bool
        Whether a connection was made; without one nothing was sent.

    """

    is_connected: bool = False


class BrokenExchangeError(Exception):
    """
    Wrapper of an aiohttp error that prevents a retry by aiohttp.

    Explanation
    -----------
    aiohttp retries only on errors of its own classes.

    Parameters
    ----------
    cause : Exception
        The aiohttp error that ended the exchange.

    """

    def __init__(self, cause: Exception) -> None:
        super().__init__(str(cause))
        self.cause = cause


async def send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """
    Send a request; middleware of aiohttp that disables its retries.

    Parameters
    ----------
    request : aiohttp.ClientRequest
        Request to send.
    handler : aiohttp.ClientHandlerType
        Next handler, which sends the request.

    Raises
    ------
    BrokenExchangeError
        The exchange failed; aiohttp does not send the request again.

    """
    try:
        return await handler(request)
    except aiohttp.ClientError as error:
        raise BrokenExchangeError(error) from error


def make_trace() -> aiohttp.TraceConfig:
    """Return a trace that updates the `Progress` of each exchange."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_record_connection)
    return trace


async def _record_connection(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    context.trace_request_ctx.is_connected = True
