"""Memory of the process."""

from ladder_core.memory.allocator import return_freed_memory

__all__ = ('return_freed_memory',)
