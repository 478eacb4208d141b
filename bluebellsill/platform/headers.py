"""The headers of the platform's callers and targets."""

from __future__ import annotations

from bluebellsill.route_interface import HeaderNames

__all__ = (
    'CALLER_HEADERS',
    'CALLER_SERVICE',
    'COLD_LEFT',
    'DEADLINE',
    'EXPECTED_TARGET',
    'LOAD',
    'NOT_RUN',
    'REQUEST_ID',
    'STAMP',
    'TARGET_NAME',
)

REQUEST_ID = 'bluebellsill-request-id'
# Milliseconds that the sender waits, counted from the request.
DEADLINE = 'bluebellsill-deadline-ms'
CALLER_SERVICE = 'bluebellsill-caller-service'
# The name of the target that a request is meant for.
EXPECTED_TARGET = 'bluebellsill-expected-instance'
# The name of the target that has answered a probe.
TARGET_NAME = 'bluebellsill-instance-id'
# A target that has not run a request says so by this header.
NOT_RUN = 'bluebellsill-not-executed'
# A target's load, and how much longer than usual work takes there.
LOAD = 'bluebellsill-server-load'
# Milliseconds that a target stays cold, in the answers to probes.
COLD_LEFT = 'bluebellsill-cold-ms'
# Signs a target's answer; it is passed on as it is.
STAMP = 'bluebellsill-server-stamp'

CALLER_HEADERS = HeaderNames(
    request_id=REQUEST_ID,
    deadline=DEADLINE,
    calling_service=CALLER_SERVICE,
    reserved=frozenset((EXPECTED_TARGET,)),
    # A target's own calls extend the id of the request that it works on.
    parent_separator='.',
)
