"""The resources that operators declare."""

from __future__ import annotations

from enum import Enum, unique
from typing import TYPE_CHECKING, Annotated, Any

from msgspec import Meta, Struct, ValidationError, convert
from result import Err, Ok, Result

from bluebellsill._validation import Fault, validate

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = (
    'DEFAULT_CLASS',
    'EXTERNAL_CALLER',
    'AvailabilityZone',
    'Kind',
    'Priority',
    'RequestClass',
    'Service',
    'Shift',
    'Target',
    'parse_spec',
)

EXTERNAL_CALLER = 'outside'  # the caller of requests that no service sends
DEFAULT_CLASS = 'default'  # requests that match no declared class

Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]


@unique
class Kind(str, Enum):
    """The kinds of resources; the values are used in the API's paths."""

    SERVICE = 'services'
    AVAILABILITY_ZONE = 'availability-zones'
    TARGET = 'targets'
    SHIFT = 'shifts'


@unique
class Priority(str, Enum):
    """The priority of requests; the lowest is shed first under overload."""

    BROWSE = 'browse'
    NORMAL = 'normal'
    CRITICAL = 'critical'

    @property
    def rank(self) -> int:
        """Return the position in the order in which requests are shed."""
        return list(Priority).index(self)


class RequestClass(Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests of one service, measured and shed together.

    Attributes:
        name: The name of the class in histograms and logs.
        path: The path prefix of the requests, compared by whole segments.
        priority: The priority of the requests under overload.
    """

    name: Name
    path: Annotated[str, Meta(pattern='^/[!-~]*$')]
    priority: Priority = Priority.NORMAL

    def matches(self, path: str) -> bool:
        """Return whether a request with a path belongs to this class."""
        prefix = self.path.rstrip('/')
        return path == prefix or path.startswith(f'{prefix}/')


class Service(Struct, frozen=True, omit_defaults=False):
    """A service: its permitted callers and the capacity of its targets.

    Attributes:
        priority: The priority of requests that match no class.
        classes: Classes with a priority of their own; the first that
            matches a request applies.
        callers: The names of the services that may call it, and ``outside``
            for callers that are not services.
        expected_targets: The number of targets of the service. Requests
            with an idempotency key run only where more than half of them
            are visible; 0 counts only those that have been seen.
        slots: The number of requests that one warm target runs at a time.
        deadline_ms: Milliseconds that a request may take, unless the caller
            sets a shorter deadline.
        health_path: The path of health probes.
        probe_cost_ms: The target's time that one probe takes, in
            milliseconds.
        probe_budget_ms: The target's time that probes may take, in
            milliseconds per second.
        cold_per_s: Requests per second that a target can serve while it
            reports that it is cold.
    """

    priority: Priority = Priority.NORMAL
    classes: Annotated[tuple[RequestClass, ...], Meta(max_length=16)] = ()
    callers: tuple[Name, ...] = (EXTERNAL_CALLER,)
    expected_targets: Annotated[int, Meta(ge=0, le=100000)] = 0
    slots: Annotated[int, Meta(ge=1, le=1024)] = 6
    deadline_ms: Annotated[int, Meta(ge=10, le=120000)] = 2000
    health_path: Annotated[str, Meta(pattern='^/[!-~]*$')] = '/health'
    probe_cost_ms: Annotated[float, Meta(gt=0, le=1000)] = 6
    probe_budget_ms: Annotated[float, Meta(gt=0, le=1000)] = 6
    cold_per_s: Annotated[float, Meta(gt=0, le=100000)] = 1

    def class_of(self, target: str) -> RequestClass:
        """Return the class of a request.

        Args:
            target: The HTTP request target: a path, optionally with a query.
        """
        path = target.partition('?')[0]
        for request_class in self.classes:
            if request_class.matches(path):
                return request_class
        return RequestClass(DEFAULT_CLASS, '/', self.priority)


class AvailabilityZone(Struct, frozen=True):
    """Whether operators have an availability zone in service."""

    in_service: bool = True


class Target(Struct, frozen=True):
    """Whether operators have one target in service.

    Targets are not created by operators; they announce themselves.
    """

    in_service: bool = True


class Shift(Struct, frozen=True):
    """Whether a shift is running; services cannot change during a shift."""

    running: bool = False


Spec = Service | AvailabilityZone | Target | Shift

_TYPES_BY_KIND: dict[Kind, type[Struct]] = {
    Kind.SERVICE: Service,
    Kind.AVAILABILITY_ZONE: AvailabilityZone,
    Kind.TARGET: Target,
    Kind.SHIFT: Shift,
}

_NAME_PATTERNS_BY_KIND = {
    Kind.SERVICE: Name,
    Kind.AVAILABILITY_ZONE: Name,
    Kind.TARGET: Annotated[str, Meta(pattern=r'^[0-9.]{7,15}:[0-9]{1,5}$')],
    Kind.SHIFT: Annotated[str, Meta(pattern='^current$')],
}


def parse_spec(
    kind: Kind,
    name: str,
    document: Mapping[str, Any],
) -> Result[Spec, list[Fault]]:
    """Validate a resource that an operator declares.

    Args:
        kind: The kind of resource.
        name: The resource's name.
        document: The declared fields.

    Returns:
        The resource, or every fault.
    """
    faults = _validate_name(kind, name)
    parsed = validate(_TYPES_BY_KIND[kind], document, 'spec.')
    if isinstance(parsed, Err):
        return Err([*faults, *parsed.err_value])
    if faults:
        return Err(faults)
    return Ok(parsed.ok_value)  # type: ignore[arg-type]


def _validate_name(kind: Kind, name: str) -> list[Fault]:
    """Return the faults in a resource's name."""
    try:
        convert(name, _NAME_PATTERNS_BY_KIND[kind])
    except ValidationError as error:
        return [Fault('name', repr(name), str(error))]
    return []
