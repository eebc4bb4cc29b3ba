"""Implementation of the transport between nodes on ZeroMQ."""

import asyncio
import contextlib
from collections.abc import Awaitable

from loguru import logger
from zmq import DEALER, DONTWAIT, LINGER, MAXMSGSIZE, ROUTER
from zmq.asyncio import Context, Socket

from ladder_node.peers.transport import AcceptCallback, Channel, PeerTransport

_HIGH_WATER_MARK_MESSAGES = 64
_MAX_MESSAGE_BYTES = 16_000_000


class _OutgoingChannel(Channel):
    """A DEALER socket connected to one peer."""

    def __init__(self, socket: Socket) -> None:
        self._socket = socket

    def send(self, frame: bytes) -> None:
        _ignore_send_error(self._socket.send(frame, DONTWAIT))

    async def receive(self) -> bytes:
        frame: bytes = await self._socket.recv()
        return frame

    def close(self) -> None:
        self._socket.close(linger=0)


class _IncomingChannel(Channel):
    """A peer that connected to the ROUTER socket, by its identity."""

    def __init__(self, transport: 'ZmqTransport', identity: bytes) -> None:
        self._transport = transport
        self._identity = identity
        self._frames: asyncio.Queue[bytes] = asyncio.Queue(
            _HIGH_WATER_MARK_MESSAGES,
        )

    def send(self, frame: bytes) -> None:
        self._transport.send_to(self._identity, frame)

    async def receive(self) -> bytes:
        return await self._frames.get()

    def close(self) -> None:
        self._transport.remove_channel(self._identity)

    def put(self, frame: bytes) -> None:
        """Queue a received frame, or drop it if the queue is full."""
        with contextlib.suppress(asyncio.QueueFull):
            self._frames.put_nowait(frame)


class ZmqTransport(PeerTransport):
    """
    Connect to each peer by a DEALER socket; accept peers by a ROUTER socket.

    Parameters
    ----------
    address : str
        ``ip:port`` at which connections of peers are accepted.

    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._context = Context()
        self._router: Socket | None = None
        self._reader: asyncio.Task[None] | None = None
        self._incoming: dict[bytes, _IncomingChannel] = {}

    def connect(self, address: str) -> Channel:
        """Open a connection to a peer."""
        socket = self._open(DEALER)
        socket.connect(f'tcp://{address}')
        return _OutgoingChannel(socket)

    async def listen(self, accept: AcceptCallback) -> None:
        """Bind the address and pass on the connection of each new peer."""
        self._router = self._open(ROUTER)
        self._router.bind(f'tcp://{self._address}')
        self._reader = asyncio.create_task(self._read(self._router, accept))

    async def close(self) -> None:
        """Stop listening and release all sockets."""
        if self._reader is not None:
            self._reader.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._reader
            self._reader = None
        self._context.destroy(linger=0)

    def send_to(self, identity: bytes, frame: bytes) -> None:
        """Send a frame to a peer that connected here, if the socket is open."""
        if self._router is None or self._router.closed:
            return
        _ignore_send_error(
            self._router.send_multipart([identity, frame], DONTWAIT),
        )

    def remove_channel(self, identity: bytes) -> None:
        """Remove a peer's connection; its next frame creates a new one."""
        self._incoming.pop(identity, None)

    async def _read(self, router: Socket, accept: AcceptCallback) -> None:
        while True:
            identity, *frames = await router.recv_multipart()
            channel = self._incoming.get(identity)
            if channel is None:
                logger.debug('accepted a connection of a peer')
                channel = _IncomingChannel(self, identity)
                self._incoming[identity] = channel
                accept(channel)
            channel.put(frames[-1])

    def _open(self, kind: int) -> Socket:
        socket = self._context.socket(kind)
        socket.set_hwm(_HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        socket.setsockopt(LINGER, 0)
        return socket


def _ignore_send_error(sending: Awaitable[object]) -> None:
    """
    Retrieve the error of a send that a full connection refused at once.

    Explanation
    -----------
    Otherwise asyncio would log it as an exception that was never retrieved.

    """
    if isinstance(sending, asyncio.Future) and sending.done():
        sending.exception()
