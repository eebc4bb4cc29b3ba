"""Settings of the C library's memory allocator."""

import ctypes

from loguru import logger

# Parameters of mallopt(3), from malloc.h of glibc.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
# The initial value of both thresholds.
_THRESHOLD_BYTES = 131_072


def return_freed_memory() -> bool:
    """
    Let the allocator return large blocks to the system when they are freed.

    Explanation
    -----------
    glibc raises its thresholds to the size of the largest block that was
    freed. From then on, bodies of some megabytes are taken from the heap,
    where small blocks that outlive them keep the freed memory in use. A
    threshold that is set once stays as it is.

    Returns
    -------
    bool
        Whether the allocator has these thresholds; others have none.

    References
    ----------
    mallopt(3), on `M_MMAP_THRESHOLD`.

    """
    library = ctypes.CDLL(None)
    try:
        set_option = library.mallopt
    except AttributeError:
        logger.info('the C library has no thresholds of its allocator to set')
        return False
    return all(
        set_option(option, _THRESHOLD_BYTES)
        for option in (_M_MMAP_THRESHOLD, _M_TRIM_THRESHOLD)
    )
