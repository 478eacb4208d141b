"""The closed list of error kinds and what callers are answered for each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from http import HTTPStatus

__all__ = ('ANSWERS_BY_KIND', 'ErrorAnswer', 'ErrorKind', 'Problem', 'Run')


@unique
class Run(str, Enum):
    """What is known about whether a refused request ran at a target."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


@unique
class ErrorKind(str, Enum):
    """Every way in which a request can fail."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    HEAD_TOO_LARGE = 'head_too_large'
    HEAD_TIMEOUT = 'head_timeout'
    UNAUTHORIZED = 'unauthorized'
    FORBIDDEN_CALLER = 'forbidden_caller'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_ROUTE = 'unknown_route'
    NOT_CONFIGURED = 'not_configured'
    UNKNOWN_RESOURCE = 'unknown_resource'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    INVALID_RESOURCE = 'invalid_resource'
    REVISION_CONFLICT = 'revision_conflict'
    REVISION_EXPIRED = 'revision_expired'
    SHIFT_RUNNING = 'shift_running'
    STORE_UNAVAILABLE = 'store_unavailable'
    WRITE_UNRESOLVED = 'write_unresolved'
    OVERLOADED = 'overloaded'
    NO_TARGET = 'no_target'
    ZONE_OUT = 'zone_out'
    TARGET_OUT = 'target_out'
    LEAVING = 'leaving'
    TARGET_FAILING = 'target_failing'
    STALE = 'stale'
    EXPIRED = 'expired'
    QUARANTINED = 'quarantined'
    KEY_IN_PROGRESS = 'key_in_progress'
    KEY_COMPLETED = 'key_completed'
    KEY_REUSED = 'key_reused'
    KEY_UNAVAILABLE = 'key_unavailable'
    TIMED_OUT = 'timed_out'
    TARGET_FAILED = 'target_failed'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    INTERNAL = 'internal'


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """What a caller is answered for one error kind.

    Attributes:
        status: The HTTP status.
        run: What the answer says about whether the request ran.
        is_retryable_elsewhere: Whether another node may take the request.
    """

    status: HTTPStatus
    run: Run = Run.NOT_RUN
    is_retryable_elsewhere: bool = False


_ELSEWHERE = ErrorAnswer(
    HTTPStatus.SERVICE_UNAVAILABLE,
    is_retryable_elsewhere=True,
)

ANSWERS_BY_KIND: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(HTTPStatus.BAD_REQUEST),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
    ErrorKind.HEAD_TOO_LARGE: ErrorAnswer(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    ),
    ErrorKind.HEAD_TIMEOUT: ErrorAnswer(HTTPStatus.REQUEST_TIMEOUT),
    ErrorKind.UNAUTHORIZED: ErrorAnswer(HTTPStatus.UNAUTHORIZED),
    ErrorKind.FORBIDDEN_CALLER: ErrorAnswer(HTTPStatus.FORBIDDEN),
    ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(HTTPStatus.NOT_FOUND),
    ErrorKind.UNKNOWN_ROUTE: ErrorAnswer(HTTPStatus.NOT_FOUND),
    ErrorKind.NOT_CONFIGURED: _ELSEWHERE,
    ErrorKind.UNKNOWN_RESOURCE: ErrorAnswer(HTTPStatus.NOT_FOUND),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorAnswer(HTTPStatus.METHOD_NOT_ALLOWED),
    ErrorKind.INVALID_RESOURCE: ErrorAnswer(HTTPStatus.UNPROCESSABLE_ENTITY),
    ErrorKind.REVISION_CONFLICT: ErrorAnswer(HTTPStatus.CONFLICT),
    ErrorKind.REVISION_EXPIRED: ErrorAnswer(HTTPStatus.GONE),
    ErrorKind.SHIFT_RUNNING: ErrorAnswer(HTTPStatus.CONFLICT),
    ErrorKind.STORE_UNAVAILABLE: ErrorAnswer(HTTPStatus.SERVICE_UNAVAILABLE),
    ErrorKind.WRITE_UNRESOLVED: ErrorAnswer(
        HTTPStatus.GATEWAY_TIMEOUT,
        run=Run.UNKNOWN,
    ),
    ErrorKind.OVERLOADED: _ELSEWHERE,
    ErrorKind.NO_TARGET: _ELSEWHERE,
    ErrorKind.ZONE_OUT: _ELSEWHERE,
    ErrorKind.TARGET_OUT: _ELSEWHERE,
    ErrorKind.LEAVING: _ELSEWHERE,
    ErrorKind.TARGET_FAILING: _ELSEWHERE,
    ErrorKind.STALE: _ELSEWHERE,
    ErrorKind.EXPIRED: ErrorAnswer(HTTPStatus.GATEWAY_TIMEOUT),
    ErrorKind.QUARANTINED: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        run=Run.UNKNOWN,
    ),
    ErrorKind.KEY_IN_PROGRESS: ErrorAnswer(
        HTTPStatus.CONFLICT,
        run=Run.UNKNOWN,
    ),
    ErrorKind.KEY_COMPLETED: ErrorAnswer(HTTPStatus.CONFLICT, run=Run.RAN),
    ErrorKind.KEY_REUSED: ErrorAnswer(HTTPStatus.UNPROCESSABLE_ENTITY),
    ErrorKind.KEY_UNAVAILABLE: ErrorAnswer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        run=Run.UNKNOWN,
    ),
    ErrorKind.TIMED_OUT: ErrorAnswer(
        HTTPStatus.GATEWAY_TIMEOUT,
        run=Run.UNKNOWN,
    ),
    ErrorKind.TARGET_FAILED: ErrorAnswer(
        HTTPStatus.BAD_GATEWAY,
        run=Run.UNKNOWN,
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        HTTPStatus.BAD_GATEWAY,
        run=Run.UNKNOWN,
    ),
    ErrorKind.INTERNAL: ErrorAnswer(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        run=Run.UNKNOWN,
    ),
}


@dataclass(frozen=True, slots=True)
class Problem:
    """One failure.

    Attributes:
        kind: What went wrong.
        message: The same for a person.
        retry_after: Seconds after which another try may succeed, 0 if
            nobody knows.
    """

    kind: ErrorKind
    message: str
    retry_after: float = 0

    @property
    def answer(self) -> ErrorAnswer:
        """What a caller is answered."""
        return ANSWERS_BY_KIND[self.kind]
