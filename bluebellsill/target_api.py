"""HTTP API for the node's target: announcements and outgoing calls."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from bluebellsill.announcement import Announcement
from bluebellsill.decoding import decode_json
from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.http import (
    Request,
    json_response,
    problem_response,
)
from bluebellsill.http_server import Reply
from bluebellsill.streams import Address

if TYPE_CHECKING:
    from bluebellsill.gateway import Gateway
    from bluebellsill.target_runner import TargetRunner

__all__ = ('ANNOUNCE_PATH', 'TargetApi')

ANNOUNCE_PATH = '/v1/target'


class TargetApi:
    """Serves the target on a listener that only the target can reach."""

    def __init__(
        self,
        runner: TargetRunner,
        gateway: Gateway,
        node_id: str,
    ) -> None:
        """Create the API for the target of the node ``node_id``."""
        self._runner = runner
        self._gateway = gateway
        self._node_id = node_id

    def handle(self, request: Request, reply: Reply) -> None:
        """Process an announcement, or route a call made by the target."""
        if request.path == ANNOUNCE_PATH:
            self._announce(request, reply)
            return
        announcement = self._runner.announcement
        if announcement is None:
            message = 'calls need an announced target; this node has none'
            _refuse(reply, ErrorKind.FORBIDDEN_CALLER, message)
            return
        self._gateway.handle(request, reply, announcement.service)

    def _announce(self, request: Request, reply: Reply) -> None:
        if request.method != 'PUT':
            _refuse(reply, ErrorKind.METHOD_NOT_ALLOWED, request.method)
            return
        decoded = decode_json(request.body, Announcement).and_then(_validate)
        if isinstance(decoded, Err):
            message = f'invalid announcement: {decoded.err_value}'
            _refuse(reply, ErrorKind.BAD_REQUEST, message)
            return
        announcement = decoded.ok_value
        self._runner.announce(announcement)
        document = {
            'node': self._node_id,
            'in_flight': self._runner.in_flight,
        }
        reply.send(json_response(HTTPStatus.OK, document))


def _validate(announcement: Announcement) -> Result[Announcement, str]:
    try:
        Address.parse(announcement.address)
    except ValueError as error:
        return Err(str(error))
    return Ok(announcement)


def _refuse(reply: Reply, kind: ErrorKind, message: str) -> None:
    reply.send(problem_response(Problem(kind, message)))
