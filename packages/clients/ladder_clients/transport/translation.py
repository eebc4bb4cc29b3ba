"""Turn transport errors into errors of targets."""

import contextlib
from collections.abc import Iterator

from ladder_clients.exchanges.errors import (
    SilentConnectionError,
    TransportBrokenError,
    TransportError,
    UnreachableError,
)
from ladder_core.errors import (
    LadderError,
    TargetLostError,
    TargetTimeoutError,
    TargetUnavailableError,
)

_KINDS: tuple[tuple[type[TransportError], type[LadderError]], ...] = (
    (UnreachableError, TargetUnavailableError),
    (SilentConnectionError, TargetTimeoutError),
    (TransportBrokenError, TargetLostError),
)


@contextlib.contextmanager
def translate_target_errors(remedy: str) -> Iterator[None]:
    """
    Raise errors of targets in place of transport errors.

    Parameters
    ----------
    remedy : str
        Remedy of an error after which the request may have run.

    Raises
    ------
    TargetUnavailableError
        The request never left.
    TargetTimeoutError, TargetLostError
        The request may have run.

    """
    try:
        yield
    except TransportError as error:
        raise _translate(error, remedy) from error


def _translate(error: TransportError, remedy: str) -> LadderError:
    if isinstance(error, UnreachableError):
        remedy = 'send the request to another target'
    for source, kind in _KINDS:
        if isinstance(error, source):
            return kind(error.message, remedy=remedy)
    return TargetLostError(error.message, remedy=remedy)
