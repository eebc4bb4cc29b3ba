"""HTTP response whose body is read as it arrives."""

from ladder_clients.exchanges.connection import PersistentConnection
from ladder_clients.exchanges.errors import TransportBrokenError
from ladder_clients.exchanges.messages import Header, find_header

# Largest body that `StreamedResponse.read` accepts.
_MAX_BODY_BYTES = 67_108_864


class StreamedResponse:
    """
    Head of a response, with methods that read its body.

    Parameters
    ----------
    connection : PersistentConnection
        Connection from which the body is read.
    status : int
        HTTP status code.
    headers : tuple of Header
        Header fields as they were received, names in their original case.
    read_seconds : float
        Longest time without a received byte while the body is read, in
        seconds.

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
        """Whether the body has been read to its end."""
        return self._is_complete

    def find_header(self, name: bytes) -> str | None:
        """
        Return the value of the first header field with a name, or None.

        Parameters
        ----------
        name : bytes
            Name of the field, in lower case.

        """
        return find_header(self.headers, name)

    async def read_chunk(self) -> bytes:
        """
        Return the next bytes of the body, or empty bytes at its end.

        Raises
        ------
        TransportError
            The connection broke, or nothing was received within the
            time-out, before the end of the body.

        """
        if self._is_complete:
            return b''
        chunk = await self._connection.read_chunk(self._read_seconds)
        self._is_complete = not chunk
        return chunk

    async def read(self) -> bytes:
        """
        Read and return the whole body.

        Raises
        ------
        TransportError
            The body was truncated, or is larger than 64 MiB.

        """
        parts = []
        size = 0
        while chunk := await self.read_chunk():
            parts.append(chunk)
            size += len(chunk)
            if size > _MAX_BODY_BYTES:
                raise TransportBrokenError(
                    f'an answer is over {_MAX_BODY_BYTES} bytes',
                    remedy='read it in parts',
                )
        return b''.join(parts)
