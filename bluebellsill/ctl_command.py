"""The ``bluebellsillctl`` command-line program for operators."""

from __future__ import annotations

import os
import sys
from getpass import getpass
from typing import Any

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from msgspec import json

from bluebellsill import __version__
from bluebellsill.operator_client import ApiError, OperatorClient
from bluebellsill.platform.explain_client import fetch_explanation
from bluebellsill.resource_file import (
    KIND_NAMES,
    UsageError,
    parse_kind,
    read_resources,
)
from bluebellsill.resources import Kind

__all__ = ('main',)

EXIT_REFUSED = 1  # exit code, docs/OPERATIONS.md
EXIT_USAGE = 2  # exit code, docs/OPERATIONS.md
EXIT_UNREACHABLE = 3  # exit code, docs/OPERATIONS.md
EXIT_LAGGING = 4  # exit code, docs/OPERATIONS.md

_NODE_VARIABLE = 'BLUEBELLSILL_NODE'
_TOKEN_VARIABLE = 'BLUEBELLSILL_TOKEN'  # noqa: S105
_METRICS_VARIABLE = 'BLUEBELLSILL_METRICS'
_KEY_VARIABLE = 'BLUEBELLSILL_KEY'
_EXIT_CODES_BY_ERROR_KIND = {
    'unreachable': EXIT_UNREACHABLE,
    'rolling_out': EXIT_LAGGING,
}
_DEFAULT_TIMEOUT_SECONDS = '10'
_HELP = """\
Exit codes: 0 success, 1 refused by the node, 2 invalid arguments or file,
3 the node cannot be reached, 4 not in force everywhere in time.
"""
_EXPLAIN_HELP = f"""\
The key of a team is read from ${_KEY_VARIABLE}, else from a prompt if the input
is a terminal; no argument takes it.
{_HELP}"""


class _NodeCommand(Command):
    """A command that sends requests to a node."""

    help = _HELP

    def handle(self) -> int:
        """Run the command and convert errors to exit codes."""
        try:
            return self.run_command()
        except UsageError as error:
            self.line_error(str(error))
            return EXIT_USAGE
        except ApiError as error:
            self.line_error(str(error))
            return _EXIT_CODES_BY_ERROR_KIND.get(error.kind, EXIT_REFUSED)

    def run_command(self) -> int:
        """Run the command and return its exit code."""
        raise AssertionError('run_command is not implemented')

    def print_json(self, document: object) -> None:
        """Print a document as JSON."""
        text = json.format(json.encode(document), indent=2).decode()
        sys.stdout.write(f'{text}\n')


class _ApiCommand(_NodeCommand):
    """A command that sends requests to the resource API of a node."""

    options = [
        option(
            'node',
            None,
            f"Operators' address of any node; default: ${_NODE_VARIABLE}.",
            flag=False,
        ),
        option(
            'token',
            None,
            f"The operators' token; default: ${_TOKEN_VARIABLE}.",
            flag=False,
        ),
    ]

    def run_command(self) -> int:
        """Run the command with a client of the API."""
        return self.run_with_client(self._client())

    def run_with_client(self, client: OperatorClient) -> int:
        """Run the command and return its exit code."""
        raise AssertionError('run_with_client is not implemented')

    def wait(self, client: OperatorClient, revision: int) -> int:
        """Wait until a revision is in force everywhere."""
        seconds = float(self.option('timeout'))
        client.wait(revision, seconds)
        self.line(f'revision {revision} is in force everywhere')
        return 0

    def _client(self) -> OperatorClient:
        node = self.option('node') or os.environ.get(_NODE_VARIABLE, '')
        token = self.option('token') or os.environ.get(_TOKEN_VARIABLE, '')
        if not node or not token:
            raise UsageError('--node and --token are required')
        try:
            return OperatorClient(node, token)
        except ValueError as error:
            raise UsageError(f'--node: {error}') from error


_TIMEOUT_OPTION = option(
    'timeout',
    None,
    'The maximum time to wait, in seconds.',
    flag=False,
    default=_DEFAULT_TIMEOUT_SECONDS,
)
_NO_WAIT_OPTION = option(
    'no-wait', None, 'Return as soon as the change is accepted.'
)


class _ApplyCommand(_ApiCommand):
    name = 'apply'
    description = 'Declare the resources of a TOML file.'
    options = [
        *_ApiCommand.options,
        option('file', 'f', 'TOML file of tables [KIND.NAME].', flag=False),
        _TIMEOUT_OPTION,
        _NO_WAIT_OPTION,
    ]

    def run_with_client(self, client: OperatorClient) -> int:
        """Validate the whole file, then declare each resource."""
        resources = read_resources(self.option('file') or '')
        revision = 0
        for kind, name, spec in resources:
            change = client.put(kind.value, name, spec)
            revision = change['revision']
            self.line(f'{kind.value}/{name} accepted as revision {revision}')
        if self.option('no-wait') or not revision:
            return 0
        return self.wait(client, revision)


class _GetCommand(_ApiCommand):
    name = 'get'
    description = 'Show one resource, or all of a kind.'
    arguments = [
        argument('kind', f'One of {KIND_NAMES}.'),
        argument('name', 'The resource.', optional=True),
    ]

    def run_with_client(self, client: OperatorClient) -> int:
        """Print the resource or the list."""
        name = self.argument('name')
        kind = parse_kind(self.argument('kind'))
        path = f'{kind.value}/{name}' if name else kind.value
        self.print_json(client.get(path))
        return 0


class _DeleteCommand(_ApiCommand):
    name = 'delete'
    description = 'Delete a declared resource.'
    arguments = [
        argument('kind', f'One of {KIND_NAMES}.'),
        argument('name', 'The resource.'),
    ]

    def run_with_client(self, client: OperatorClient) -> int:
        """Delete the resource."""
        kind = parse_kind(self.argument('kind'))
        change = client.delete(kind.value, self.argument('name'))
        self.line(f'accepted as revision {change["revision"]}')
        return 0


class _WatchCommand(_ApiCommand):
    name = 'watch'
    description = 'Print each change of a kind as it is accepted.'
    arguments = [argument('kind', f'One of {KIND_NAMES}.')]
    options = [
        *_ApiCommand.options,
        option('after', None, 'The revision to start after.', flag=False),
    ]

    def run_with_client(self, client: OperatorClient) -> int:
        """Print JSON lines until interrupted."""
        kind = parse_kind(self.argument('kind'))
        after = self.option('after')
        if after is None:
            after = client.get(kind.value)['revision']
        for change in client.watch(kind.value, int(after)):
            line = json.encode(change).decode()
            sys.stdout.write(f'{line}\n')
            sys.stdout.flush()
        return 0


class _WaitCommand(_ApiCommand):
    name = 'wait'
    description = 'Wait until a revision is in force everywhere.'
    arguments = [argument('revision', 'The revision.')]
    options = [*_ApiCommand.options, _TIMEOUT_OPTION]

    def run_with_client(self, client: OperatorClient) -> int:
        """Wait for the revision."""
        text = self.argument('revision')
        if not text.isdecimal():
            raise UsageError(f'{text!r} is not a revision')
        return self.wait(client, int(text))


class _ServiceStateCommand(_ApiCommand):
    """Takes an availability zone or a target out of or into service."""

    in_service = False
    arguments = [
        argument('kind', 'availability-zones or targets.'),
        argument('name', 'The availability zone or target.'),
    ]
    options = [*_ApiCommand.options, _TIMEOUT_OPTION, _NO_WAIT_OPTION]

    def run_with_client(self, client: OperatorClient) -> int:
        """Declare whether the resource is in service."""
        kind = parse_kind(self.argument('kind'))
        if kind not in {Kind.AVAILABILITY_ZONE, Kind.TARGET}:
            raise UsageError(f'{kind.value} cannot be taken out of service')
        spec = {'in_service': self.in_service}
        change = client.put(kind.value, self.argument('name'), spec)
        self.line(f'accepted as revision {change["revision"]}')
        if self.option('no-wait'):
            return 0
        return self.wait(client, change['revision'])


class _DrainCommand(_ServiceStateCommand):
    name = 'drain'
    description = 'Take an availability zone or a target out of service.'
    in_service = False


class _ReturnCommand(_ServiceStateCommand):
    name = 'return'
    description = 'Return an availability zone or a target to service.'
    in_service = True


class _ShiftCommand(_ApiCommand):
    name = 'shift'
    description = 'Declare the start or the end of a shift.'
    arguments = [argument('event', 'start or end.')]
    options = [*_ApiCommand.options, _TIMEOUT_OPTION, _NO_WAIT_OPTION]

    def run_with_client(self, client: OperatorClient) -> int:
        """Declare whether a shift is running."""
        event = self.argument('event')
        if event not in {'start', 'end'}:
            raise UsageError(f'{event!r} is neither start nor end')
        spec = {'running': event == 'start'}
        change = client.put(Kind.SHIFT.value, 'current', spec)
        if self.option('no-wait'):
            return 0
        return self.wait(client, change['revision'])


class _StatusCommand(_ApiCommand):
    name = 'status'
    description = 'Show the rollout in each availability zone and the members.'

    def run_with_client(self, client: OperatorClient) -> int:
        """Print the rollout of each zone and a table of the members."""
        status = client.get('status')
        self.line(f'revision {status["revision"]}: {status["condition"]}')
        for name, zone in sorted(status['zones'].items()):
            self.line(f'  {name}: {_describe_zone(zone)}')
        rows = [
            [
                member['id'],
                member['availability_zone'],
                member['service'] or '-',
                member['state'],
            ]
            for member in client.get('members')['items']
        ]
        headers = ['target', 'availability zone', 'service', 'state']
        self.render_table(headers, sorted(rows))
        return 0


class _ExplainCommand(_NodeCommand):
    name = 'explain'
    description = 'Show where a request would go now, without sending it.'
    help = _EXPLAIN_HELP
    arguments = [
        argument('host', 'The host of the request.'),
        argument('path', 'Its path.'),
    ]
    options = [
        option(
            'metrics',
            None,
            "Address of the entry node's metrics;"
            f' default: ${_METRICS_VARIABLE}.',
            flag=False,
        ),
    ]

    def run_command(self) -> int:
        """Print the explanation of the node."""
        address = self.option('metrics') or os.environ.get(_METRICS_VARIABLE)
        if not address:
            raise UsageError('--metrics is required')
        host, path = self.argument('host'), self.argument('path')
        if not path.startswith('/'):
            raise UsageError(f'{path!r} is not a path')
        try:
            explanation = fetch_explanation(address, host, path, _read_key())
        except ValueError as error:
            raise UsageError(str(error)) from error
        self.print_json(explanation)
        return 0


def _read_key() -> str:
    """Return the key of a team, empty for none.

    It is never an argument, because other users can read those.
    """
    key = os.environ.get(_KEY_VARIABLE)
    if key is None and sys.stdin.isatty():
        key = getpass('Key (empty for none): ')
    return key or ''


def _describe_zone(zone: dict[str, Any] | None) -> str:
    if zone is None:
        return 'no reader answered'
    return (
        f'{zone["members"]} nodes, {zone["lagging"]} lagging,'
        f' {zone["in_flight"]} calls in flight'
    )


def main() -> None:
    """Run the program."""
    application = Application('bluebellsillctl', __version__)
    for command in (
        _ApplyCommand,
        _GetCommand,
        _DeleteCommand,
        _WatchCommand,
        _WaitCommand,
        _DrainCommand,
        _ReturnCommand,
        _ShiftCommand,
        _StatusCommand,
        _ExplainCommand,
    ):
        application.add(command())
    application.run()
