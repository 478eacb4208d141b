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
    'OUTSIDE',
    'AvailabilityZone',
    'Kind',
    'Priority',
    'RequestClass',
    'Service',
    'Shift',
    'Target',
    'parse_spec',
)

OUTSIDE = 'outside'
DEFAULT_CLASS = 'default'

Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]


@unique
class Kind(str, Enum):
    """The kinds of resources, as they stand in the API's paths."""

    SERVICE = 'services'
    AVAILABILITY_ZONE = 'availability-zones'
    TARGET = 'targets'
    SHIFT = 'shifts'


@unique
class Priority(str, Enum):
    """Which requests are shed first under overload."""

    BROWSE = 'browse'
    NORMAL = 'normal'
    CRITICAL = 'critical'

    @property
    def rank(self) -> int:
        """Return a number that is higher for what is shed later."""
        return list(Priority).index(self)


class RequestClass(Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of one service that are counted and shed alike.

    Attributes:
        name: Names the class in histograms and logs.
        path: The path that their paths begin with, segment by segment.
        priority: Which requests are shed first.
    """

    name: Name
    path: Annotated[str, Meta(pattern='^/[!-~]*$')]
    priority: Priority = Priority.NORMAL

    def fits(self, path: str) -> bool:
        """Return whether a request with a path is of this class."""
        own = self.path.rstrip('/')
        return path == own or path.startswith(f'{own}/')


class Service(Struct, frozen=True, omit_defaults=False):
    """A service: who may call it and what its targets bear.

    Attributes:
        priority: Which requests are shed first.
        classes: Requests with a priority of their own; the first that fits.
        callers: ``outside`` and the names of services that may call it.
        expected_targets: How many targets the service has. Keyed requests
            run only where more than half of them are in sight; 0 counts
            only those that were seen.
        slots: Requests that one warm target runs at a time.
        deadline_ms: Milliseconds that a caller waits, unless it says less.
        health_path: The path that probes ask for.
        probe_cost_ms: Milliseconds that one probe costs a target.
        probe_budget_ms: Milliseconds a second that probes may cost a target.
        cold_per_s: Requests a second that a target bears while it says that
            it is cold.
    """

    priority: Priority = Priority.NORMAL
    classes: Annotated[tuple[RequestClass, ...], Meta(max_length=16)] = ()
    callers: tuple[Name, ...] = (OUTSIDE,)
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
            target: The request target, a path and perhaps a query.
        """
        path = target.partition('?')[0]
        for one in self.classes:
            if one.fits(path):
                return one
        return RequestClass(DEFAULT_CLASS, '/', self.priority)


class AvailabilityZone(Struct, frozen=True):
    """An availability zone, in or out of service."""

    in_service: bool = True


class Target(Struct, frozen=True):
    """What operators say of one target; targets announce themselves."""

    in_service: bool = True


class Shift(Struct, frozen=True):
    """Whether a shift is running, so that services must not change."""

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
    """Validate what an operator declares.

    Args:
        kind: The kind of resource.
        name: The resource's name.
        document: The declared fields.

    Returns:
        The resource, or every fault.
    """
    faults = check_name(kind, name)
    parsed = validate(_TYPES_BY_KIND[kind], document, 'spec.')
    if isinstance(parsed, Err):
        return Err([*faults, *parsed.err_value])
    if faults:
        return Err(faults)
    return Ok(parsed.ok_value)  # type: ignore[arg-type]


def check_name(kind: Kind, name: str) -> list[Fault]:
    """Return the faults of a resource's name."""
    try:
        convert(name, _NAME_PATTERNS_BY_KIND[kind])
    except ValidationError as error:
        return [Fault('name', repr(name), str(error))]
    return []
