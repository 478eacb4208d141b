"""Streams configuration changes to operators that watch a resource kind."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.http import problem_response

if TYPE_CHECKING:
    from bluebellsill.change_records import Change
    from bluebellsill.configuration import Configuration
    from bluebellsill.http_server import Reply
    from bluebellsill.resources import Kind

__all__ = ('Watches', 'change_document')


class _Watcher:
    """An operator's open watch on one kind of resource."""

    def __init__(self, kind: Kind, reply: Reply, revision: int) -> None:
        self.kind = kind
        self.reply = reply
        self.revision = revision


class Watches:
    """Sends each change to the operators that watch its kind."""

    def __init__(self, configuration: Configuration) -> None:
        """Subscribe to the changes of a configuration."""
        self._configuration = configuration
        self._watchers: set[_Watcher] = set()
        configuration.subscribe(self._on_configuration_changed)

    def open(self, kind: Kind, revision: int, reply: Reply) -> None:
        """Start a watch, or refuse it if earlier changes are discarded.

        Args:
            kind: The kind of resources.
            revision: The revision to start after.
            reply: Sends the response to the operator.
        """
        if self._configuration.changes_after(revision) is None:
            message = f'changes after revision {revision} expired; list again'
            problem = Problem(ErrorKind.REVISION_EXPIRED, message)
            reply.send(problem_response(problem))
            return
        watcher = _Watcher(kind, reply, revision)
        self._watchers.add(watcher)
        reply.on_abandoned = lambda: self._watchers.discard(watcher)
        reply.start_stream()
        self._notify(watcher)

    def close(self) -> None:
        """Stop sending changes."""
        self._watchers.clear()

    def _on_configuration_changed(self) -> None:
        for watcher in tuple(self._watchers):
            self._notify(watcher)

    def _notify(self, watcher: _Watcher) -> None:
        changes = self._configuration.changes_after(watcher.revision)
        if changes is None:
            # Changes after the watcher's revision are no longer kept. The
            # error tells the operator to list the resources again.
            watcher.reply.send_line(
                {
                    'error': ErrorKind.REVISION_EXPIRED.value,
                    'revision': self._configuration.revision,
                }
            )
            changes = []
        watcher.revision = self._configuration.revision
        for change in changes:
            if change.kind is watcher.kind:
                watcher.reply.send_line(change_document(change))


def change_document(change: Change) -> dict[str, Any]:
    """Return an accepted change as JSON types."""
    return {
        'revision': change.revision,
        'token': change.token,
        'kind': change.kind.value,
        'name': change.name,
        'spec': change.spec,
    }
