"""The ``bluebellsill-mesh`` program, which runs a node on the platform."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from bluebellsill._node_program import run_node_program
from bluebellsill.logs import get_logger, send_logs_to
from bluebellsill.mesh_settings import MeshSettings
from bluebellsill.settings import load_toml

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ('load', 'main', 'run')

_STANDARD_OUTPUT = 1  # file descriptor


def main() -> None:
    """Run a node until a signal stops it."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run a node.

    Args:
        arguments: The command-line arguments without the program name.

    Returns:
        The exit status.
    """
    return run_node_program(
        'bluebellsill-mesh',
        'Run the node of one target on the platform. SIGTERM stops it'
        ' gracefully, SIGHUP reloads the settings.',
        arguments,
        load,
        _serve,
    )


def load(path: Path) -> Result[MeshSettings, list[str]]:
    """Read and validate the settings; each error is one line."""
    loaded = load_toml(path, MeshSettings)
    if isinstance(loaded, Err):
        return Err([str(fault) for fault in loaded.err_value])
    settings = loaded.ok_value
    try:
        settings.enforced_bounds()
    except msgspec.ValidationError as error:
        return Err([f'bounds = {settings.bounds}: {error}'])
    return Ok(settings)


def _serve(path: Path, settings: MeshSettings) -> None:
    # Imported here to keep --check and --help fast.
    from bluebellsill.mesh_node import MeshNode  # noqa: PLC0415

    def reload() -> MeshSettings | None:
        loaded = load(path)
        if isinstance(loaded, Err):
            get_logger('settings').error(
                'settings not reloaded', faults=loaded.err_value
            )
            return None
        return loaded.ok_value

    send_logs_to(_STANDARD_OUTPUT)
    MeshNode(settings, reload).run()


if __name__ == '__main__':
    main()
