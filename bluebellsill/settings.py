"""The settings of a node, read from a TOML file."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, TypeVar

from msgspec import Meta, Struct
from result import Err, Ok, Result

from bluebellsill._validation import Fault, validate
from bluebellsill.balancing_policy import BalancingPolicyName

__all__ = (
    'ListenSettings',
    'MembershipSettings',
    'NodeSettings',
    'OperatorSettings',
    'RoutingSettings',
    'Settings',
    'StoreSettings',
    'load_toml',
)

AddressText = Annotated[str, Meta(pattern=r'^[0-9.]{7,15}:[0-9]{1,5}$')]
SettingsType = TypeVar('SettingsType', bound=Struct)


class NodeSettings(Struct, frozen=True):
    """The location of the node, its shutdown and its random seed.

    Attributes:
        availability_zone: The availability zone of the VM.
        drain_seconds: The maximum duration of a graceful shutdown.
        seed: The seed of the random number generator; None takes one from
            the operating system.
    """

    availability_zone: Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9-]*$')]
    drain_seconds: Annotated[float, Meta(gt=0, le=600)] = 30
    seed: int | None = None


class ListenSettings(Struct, frozen=True):
    """The addresses on which the node listens; port 0 takes a free port.

    Attributes:
        peers: For other nodes, over TCP and UDP; also the node's ID.
        callers: For external callers.
        target: For the target on the same VM; loopback only.
        operators: For operators.
    """

    peers: AddressText
    callers: AddressText
    target: AddressText
    operators: AddressText


class StoreSettings(Struct, frozen=True):
    """The address of the platform's store."""

    address: AddressText


class OperatorSettings(Struct, frozen=True):
    """The bearer token of the resource API."""

    token: Annotated[str, Meta(min_length=8)]


class MembershipSettings(Struct, frozen=True):
    """The peers to join through while the store cannot be read."""

    seeds: tuple[AddressText, ...] = ()


class RoutingSettings(Struct, frozen=True):
    """The balancing policy; others than the default are for comparison."""

    choice: BalancingPolicyName = BalancingPolicyName.TWO_CHOICES


class Settings(Struct, frozen=True):
    """All settings of a node."""

    node: NodeSettings
    listen: ListenSettings
    store: StoreSettings
    operators: OperatorSettings
    membership: MembershipSettings = MembershipSettings()
    routing: RoutingSettings = RoutingSettings()


def load_toml(
    path: Path,
    settings_type: type[SettingsType],
) -> Result[SettingsType, list[Fault]]:
    """Read and validate a TOML file.

    Args:
        path: The file.
        settings_type: The struct to convert the file to.

    Returns:
        The settings, or every fault in the file.
    """
    try:
        document = tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        return Err([Fault('file', str(path), error.strerror or str(error))])
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Err([Fault('file', str(path), str(error))])
    result = validate(settings_type, document)
    return result if isinstance(result, Err) else Ok(result.ok_value)
