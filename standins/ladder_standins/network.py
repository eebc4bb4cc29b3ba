"""Simulation of the network between callers and a stand-in."""

import asyncio
import time

import msgspec
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from ladder_clients.transport import ORIGIN_HEADER

NETWORK_PATH = '/network'
TRANSFER_HEADER = 'x-transfer-bytes'

_MILLISECONDS_PER_SECOND = 1000
_SILENCE_SECONDS = 3600
_OK_STATUS = 200
_BITS_PER_BYTE = 8
_ORIGIN_FIELD = ORIGIN_HEADER.encode()
_TRANSFER_FIELD = TRANSFER_HEADER.encode()


class NetworkSettings(msgspec.Struct, frozen=True):
    """
    Delays and bandwidth of the network around one stand-in.

    Attributes
    ----------
    region, data_centre : str
        Location of the stand-in.
    centres_ms : float
        One-way delay between data centres of a region, in milliseconds.
    regions_ms : float
        One-way delay between regions, in milliseconds.
    clients_ms : float
        One-way delay to callers that send no origin, in milliseconds.
    link_bits_per_second : float
        Bandwidth of the link between regions; zero for no limit.
    is_cut : bool
        Whether the link between regions is cut; calls over it get no response.

    """

    region: str = ''
    data_centre: str = ''
    centres_ms: float = 0
    regions_ms: float = 0
    clients_ms: float = 0
    link_bits_per_second: float = 0
    is_cut: bool = False

    def find_delay(self, origin: str) -> float:
        """
        Return the one-way delay to a caller, in seconds.

        Parameters
        ----------
        origin : str
            Location of the caller, ``region/data-centre``; empty for a client
            outside the data centres.

        Examples
        --------
        >>> network = NetworkSettings('attica', 'elefsina', 1.5, 12, 1)
        >>> network.find_delay('thessaloniki/sindos')
        0.012
        >>> network.find_delay('attica/elefsina')
        0.0

        """
        if not origin:
            return self.clients_ms / _MILLISECONDS_PER_SECOND
        if self.is_in_other_region(origin):
            return self.regions_ms / _MILLISECONDS_PER_SECOND
        if origin.endswith(f'/{self.data_centre}'):
            return float(0)
        return self.centres_ms / _MILLISECONDS_PER_SECOND

    def is_in_other_region(self, origin: str) -> bool:
        """Return whether a caller is in another region."""
        return bool(origin) and not origin.startswith(f'{self.region}/')


class Traffic(msgspec.Struct):
    """
    Traffic of a stand-in since its start.

    Attributes
    ----------
    link_bytes : int
        Bytes of bodies that crossed the link between regions.
    reads, writes : int
        Number of GET requests, and of requests with any other method.
    bytes : int
        Bytes of header fields and bodies, in both directions.

    """

    link_bytes: int = 0
    reads: int = 0
    writes: int = 0
    bytes: int = 0  # noqa: WPS125 name of the field in JSON


class NetworkMiddleware:
    """
    Apply delays and bandwidth of a network to the requests of a stand-in.

    Each request to ``/network`` returns the traffic so far; with PUT it also
    replaces the settings of the network.

    Parameters
    ----------
    app : ASGIApp
        Application of the stand-in.

    Notes
    -----
    Callers send their location in `ORIGIN_HEADER`. Each stand-in has its own
    queue for the link, so transfers of two stand-ins do not slow each other
    down. Messages between nodes do not pass through this simulation.

    """

    def __init__(self, app: ASGIApp) -> None:
        self._app = app
        self._network = NetworkSettings()
        self._traffic = Traffic()
        self._link_free_at: float = 0

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Read or change the network, or forward a request through it."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
        elif scope['path'] == NETWORK_PATH:
            await self._handle_control(scope, receive, send)
        else:
            await self._forward(scope, receive, send)

    async def _handle_control(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        if scope['method'] == 'PUT':
            message = await receive()
            self._network = msgspec.json.decode(
                message['body'], type=NetworkSettings
            )
        body = msgspec.json.encode(self._traffic)
        head = {
            'type': 'http.response.start',
            'status': _OK_STATUS,
            'headers': [],
        }
        await send(head)
        await send({'type': 'http.response.body', 'body': body})

    async def _forward(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        origin = dict(scope['headers']).get(_ORIGIN_FIELD, b'').decode()
        delay_seconds = self._network.find_delay(origin)
        await self._cross_link(origin, 0)
        await asyncio.sleep(delay_seconds)
        self._count_request(scope)

        async def receive_counted() -> Message:
            message = await receive()
            self._count_link_bytes(origin, len(message.get('body', b'')))
            self._traffic.bytes += _count_bytes(message)
            return message

        async def send_delayed(message: Message) -> None:
            if message['type'] == 'http.response.start':
                await asyncio.sleep(delay_seconds)
            await self._cross_link(origin, _find_transfer_size(message))
            self._traffic.bytes += _count_bytes(message)
            await send(message)

        await self._app(scope, receive_counted, send_delayed)

    def _count_request(self, scope: Scope) -> None:
        self._traffic.bytes += _count_bytes(scope)
        if scope['method'] == 'GET':
            self._traffic.reads += 1
        else:
            self._traffic.writes += 1

    def _count_link_bytes(self, origin: str, size: int) -> None:
        if self._network.is_in_other_region(origin):
            self._traffic.link_bytes += size

    async def _cross_link(self, origin: str, size: int) -> None:
        """Wait until the link between regions has transferred some bytes."""
        if not self._network.is_in_other_region(origin):
            return
        if self._network.is_cut:
            await asyncio.sleep(_SILENCE_SECONDS)
        self._count_link_bytes(origin, size)
        rate = self._network.link_bits_per_second / _BITS_PER_BYTE
        if size and rate:
            now = time.monotonic()
            starts_at = max(self._link_free_at, now)
            self._link_free_at = starts_at + size / rate
            await asyncio.sleep(self._link_free_at - now)


def _find_transfer_size(message: Message) -> int:
    """Return the transfer size that a part of a response represents."""
    headers = dict(message.get('headers', ()))
    return int(headers.get(_TRANSFER_FIELD, len(message.get('body', b''))))


def _count_bytes(message: Message | Scope) -> int:
    """Return the size of header fields and body, in bytes."""
    headers = message.get('headers', ())
    fields = sum(len(name) + len(field) for name, field in headers)
    return fields + len(message.get('body', b''))
