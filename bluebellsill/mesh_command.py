"""The ``bluebellsill-mesh`` program: a node on the platform."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from bluebellsill import __version__
from bluebellsill.logs import get_logger, send_logs_to
from bluebellsill.mesh_settings import MeshSettings
from bluebellsill.settings import load_toml

__all__ = ('main',)

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3
_STANDARD_OUTPUT = 1

_EPILOG = """\
exit codes:
  0  stopped gracefully, or the settings are valid (--check)
  2  the settings are not valid; every fault is printed
  3  an address cannot be bound
"""


def main() -> None:
    """Run a node until it is told to stop."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run a node.

    Args:
        arguments: The command line without the program's name.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(
        prog='bluebellsill-mesh',
        description='Run the node beside one target of the platform. SIGTERM'
        ' stops it gracefully, SIGHUP reads the settings again.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('settings', type=Path, help='the TOML settings file')
    parser.add_argument(
        '--check',
        action='store_true',
        help='validate the settings without starting',
    )
    parser.add_argument('--version', action='version', version=__version__)
    options = parser.parse_args(arguments)
    loaded = load(options.settings)
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            sys.stderr.write(f'{options.settings}: {fault}\n')
        return EXIT_SETTINGS
    if options.check:
        return 0
    return _serve(options.settings, loaded.ok_value)


def load(path: Path) -> Result[MeshSettings, list[str]]:
    """Read and check the settings; every fault is one line."""
    loaded = load_toml(path, MeshSettings)
    if isinstance(loaded, Err):
        return Err([str(fault) for fault in loaded.err_value])
    settings = loaded.ok_value
    try:
        settings.known_bounds()
    except msgspec.ValidationError as error:
        return Err([f'bounds = {settings.bounds}: {error}'])
    return Ok(settings)


def _serve(path: Path, settings: MeshSettings) -> int:
    # Imported late, so that --check and --help stay quick.
    from bluebellsill.mesh_node import MeshNode  # noqa: PLC0415

    def reload() -> MeshSettings | None:
        loaded = load(path)
        if isinstance(loaded, Err):
            get_logger('settings').error(
                'not reloaded', faults=loaded.err_value
            )
            return None
        return loaded.ok_value

    send_logs_to(_STANDARD_OUTPUT)
    try:
        node = MeshNode(settings, reload)
    except OSError as error:
        sys.stderr.write(f'cannot listen: {error}\n')
        return EXIT_ADDRESS
    node.run()
    return 0


if __name__ == '__main__':
    main()
