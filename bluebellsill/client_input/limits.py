"""Limits on what clients may send and make a node hold."""

from __future__ import annotations

from dataclasses import dataclass

from bluebellsill.http import MAX_BODY, MAX_HEAD

__all__ = (
    'MAX_READ_AHEAD',
    'MAX_UNSENT',
    'READ_SIZE',
    'InputBounds',
    'RequestLimits',
)

# Requests of one connection that are handled or wait.
MAX_READ_AHEAD = 16
# Bytes; more are read from a connection only once its client has taken so much
# of its responses that less is left.
MAX_UNSENT = 262144
# Bytes of one read, as many as the largest head of the platform. Larger reads of
# very short header lines hold up the event loop: 64 KiB of them took 26 ms.
READ_SIZE = 16384

_BYTES_PER_MIB = 1048576
# The estimate covers what clients' requests take in this process until they
# are answered, but not the copies on their way to targets' nodes, nor the copy
# at the node of the target.
_MEMORY_SHARE = 8
# The other half is for links to nodes, connections to the target and the store.
_DESCRIPTOR_SHARE = 2


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Size limits and timeouts for the requests of clients.

    Attributes:
        max_head: Maximum bytes of a request's start line and headers. Also
            the maximum of empty lines before a request, and of trailers and
            chunk extensions in a row.
        max_body: Maximum bytes of a request's body.
        head_timeout: Maximum seconds from the first to the last byte of a
            head, None for no limit.
        idle_timeout: Maximum seconds that a connection may be idle between
            requests, or make no progress with a body or a response; None for
            no limit.
    """

    max_head: int = MAX_HEAD
    max_body: int = MAX_BODY
    head_timeout: float | None = None
    idle_timeout: float | None = None


@dataclass(frozen=True, slots=True)
class InputBounds:
    """Bounds on what all clients of a listener together make a node hold.

    Attributes:
        memory: Bytes of requests and responses, None for no bound.
        connections: Open connections, None for no bound.
    """

    memory: int | None = None
    connections: int | None = None

    @classmethod
    def of_vm(
        cls, memory_mb: float | None, max_descriptors: int | None
    ) -> InputBounds:
        """Return the share of a VM that is for clients.

        Args:
            memory_mb: The memory of the VM in MiB, None if unknown.
            max_descriptors: The descriptors of a process, None if unknown.
        """
        memory = None
        if memory_mb is not None:
            memory = int(memory_mb * _BYTES_PER_MIB / _MEMORY_SHARE)
        connections = None
        if max_descriptors is not None:
            connections = max(max_descriptors // _DESCRIPTOR_SHARE, 1)
        return cls(memory, connections)
