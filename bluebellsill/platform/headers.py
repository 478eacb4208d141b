"""HTTP headers defined by the platform for callers and targets."""

from __future__ import annotations

from bluebellsill.route_interface import HeaderNames

__all__ = (
    'CALLER_HEADERS',
    'CALLER_SERVICE',
    'COLD_LEFT',
    'CREDENTIALS',
    'DEADLINE',
    'EXPECTED_TARGET',
    'LEAVING',
    'LOAD',
    'NOT_RUN',
    'RATE_LIMIT',
    'REQUEST_ID',
    'SCHEME',
    'STAMP',
    'STORE_EPOCH',
    'TARGET_NAME',
    'TEAM',
)

REQUEST_ID = 'bluebellsill-request-id'
# The time that the sender waits for a response, in milliseconds from
# sending the request.
DEADLINE = 'bluebellsill-deadline-ms'
CALLER_SERVICE = 'bluebellsill-caller-service'
# A client's key, after the name of the scheme.
CREDENTIALS = 'authorization'
SCHEME = 'Token'
# The name of the team whose key a request carried; only nodes set it.
TEAM = 'bluebellsill-tenant-id'
# The name of the target that a request is addressed to.
EXPECTED_TARGET = 'bluebellsill-expected-instance'
# The name of the target that responds to a probe.
TARGET_NAME = 'bluebellsill-instance-id'
# Set by a target on the response to a request that it did not execute.
NOT_RUN = 'bluebellsill-not-executed'
# A target's load: running requests, queued requests, slots, and the
# current processing time in percent of the usual one.
LOAD = 'bluebellsill-server-load'
# How long a target stays cold, in milliseconds; in responses to probes.
COLD_LEFT = 'bluebellsill-cold-ms'
# The requests a second, a decimal number, that a target takes from all nodes
# together; absent while it has no limit.
RATE_LIMIT = 'server-limit'
# 1 in every response of a target that is leaving.
LEAVING = 'server-leaving'
# A target's signature of its response; forwarded unchanged.
STAMP = 'bluebellsill-server-stamp'

# In every response of the metadata store: how many times it has been restored
# from a copy. Revisions of different epochs cannot be compared.
STORE_EPOCH = 'store-era'

CALLER_HEADERS = HeaderNames(
    request_id=REQUEST_ID,
    deadline=DEADLINE,
    calling_service=CALLER_SERVICE,
    credentials=CREDENTIALS,
    scheme=SCHEME,
    team=TEAM,
    reserved=frozenset((EXPECTED_TARGET,)),
    # A target's own calls append to the id of the request that it processes.
    parent_separator='.',
)
