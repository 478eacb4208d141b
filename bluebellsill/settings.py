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
    """Where the node is.

    Attributes:
        availability_zone: The availability zone of the VM.
        drain_seconds: How long a graceful shutdown may take.
        seed: Seeds the random source; None draws one from the system.
    """

    availability_zone: Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9-]*$')]
    drain_seconds: Annotated[float, Meta(gt=0, le=600)] = 30
    seed: int | None = None


class ListenSettings(Struct, frozen=True):
    """Where the node listens; port 0 takes a free port.

    Attributes:
        peers: For other nodes, by TCP and UDP; names the node.
        callers: For outside callers.
        target: For the target beside the node; loopback only.
        operators: For operators.
    """

    peers: AddressText
    callers: AddressText
    target: AddressText
    operators: AddressText


class StoreSettings(Struct, frozen=True):
    """Where the platform's store is."""

    address: AddressText


class OperatorSettings(Struct, frozen=True):
    """Who may use the resource API."""

    token: Annotated[str, Meta(min_length=8)]


class MembershipSettings(Struct, frozen=True):
    """Peers to meet while the store cannot be read."""

    seeds: tuple[AddressText, ...] = ()


class RoutingSettings(Struct, frozen=True):
    """How targets are chosen; all but the first are for comparison."""

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
        settings_type: The struct that it describes.

    Returns:
        The settings, or every fault in the file.
    """
    try:
        document = tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        return Err([Fault('file', str(path), error.strerror or str(error))])
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Err([Fault('file', str(path), str(error))])
    found = validate(settings_type, document)
    return found if isinstance(found, Err) else Ok(found.ok_value)
