"""Translation of transport errors into errors of targets."""

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

_TARGET_ERRORS: tuple[tuple[type[TransportError], type[LadderError]], ...] = (
    (UnreachableError, TargetUnavailableError),
    (SilentConnectionError, TargetTimeoutError),
    (TransportBrokenError, TargetLostError),
)


@contextlib.contextmanager
def translate_target_errors(remedy: str) -> Iterator[None]:
    """
    Replace transport errors of the context by errors of targets.

    Parameters
    ----------
    remedy : str
        Advice to the caller in errors after which the request may have been
        executed.

    Raises
    ------
    TargetUnavailableError
        The request was not sent.
    TargetTimeoutError, TargetLostError
        The request may have been executed.

    """
    try:
        yield
    except TransportError as error:
        raise _make_target_error(error, remedy) from error


def _make_target_error(error: TransportError, remedy: str) -> LadderError:
    if isinstance(error, UnreachableError):
        remedy = 'send the request to another target'
    for transport_error, target_error in _TARGET_ERRORS:
        if isinstance(error, transport_error):
            return target_error(error.message, remedy=remedy)
    return TargetLostError(error.message, remedy=remedy)
