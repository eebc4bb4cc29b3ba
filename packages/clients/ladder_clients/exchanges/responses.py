"""An answer whose body is still to come."""

from ladder_clients.exchanges.connection import PersistentConnection
from ladder_clients.exchanges.errors import TransportBrokenError
from ladder_clients.exchanges.messages import Header, find_header

# Largest body that is read as a whole.
_BODY_BYTES = 67_108_864


class StreamedResponse:
    """
    The head of an answer, and the way to its body.

    Parameters
    ----------
    connection : PersistentConnection
        Where the body arrives.
    status : int
        HTTP status.
    headers : tuple of Header
        Header fields as they arrived.
    read_seconds : float
        Seconds of silence after which the body counts as lost.

    """

    def __init__(
        self,
        connection: PersistentConnection,
        status: int,
        headers: tuple[Header, ...],
        read_seconds: float,
    ) -> None:
        self.status = status
        self.headers = headers
        self._connection = connection
        self._read_seconds = read_seconds
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Whether the body was read to its end."""
        return self._is_complete

    def find_header(self, name: bytes) -> str | None:
        """Return the first header field of a lower-case name, or None."""
        return find_header(self.headers, name)

    async def read_chunk(self) -> bytes:
        """
        Return the next bytes of the body; empty at its end.

        Raises
        ------
        TransportError
            The connection broke or stays silent before the end.

        """
        if self._is_complete:
            return b''
        chunk = await self._connection.read_chunk(self._read_seconds)
        self._is_complete = not chunk
        return chunk

    async def read(self) -> bytes:
        """
        Return the whole body.

        Raises
        ------
        TransportError
            The body did not arrive whole, or is over the limit.

        """
        parts = []
        size = 0
        while chunk := await self.read_chunk():
            parts.append(chunk)
            size += len(chunk)
            if size > _BODY_BYTES:
                raise TransportBrokenError(
                    f'an answer is over {_BODY_BYTES} bytes',
                    remedy='read it in parts',
                )
        return b''.join(parts)
