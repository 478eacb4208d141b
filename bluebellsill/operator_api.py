"""The HTTP resource API for operators, which every node serves."""

from __future__ import annotations

from http import HTTPStatus
from os import urandom
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, unquote

from result import Err, Result
from xxhash import xxh3_128_digest

from bluebellsill.change_records import Change, Draft
from bluebellsill.configuration import Configuration
from bluebellsill.decoding import decode_json, parse_whole_number
from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.http import (
    Request,
    Response,
    json_response,
    problem_response,
)
from bluebellsill.http_server import Reply
from bluebellsill.membership import MemberState
from bluebellsill.operator_watches import Watches, change_document
from bluebellsill.resources import Kind, parse_spec

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.configuration_writer import ConfigurationWriter
    from bluebellsill.membership import Members
    from bluebellsill.metrics import Metrics
    from bluebellsill.rollout import RolloutQuery, RolloutStatus

__all__ = ('OperatorApi',)

_KINDS_BY_PATH = {kind.value: kind for kind in Kind}
_BEARER = 'Bearer '


class OperatorApi:
    """Serves the resource API from the configuration in force."""

    def __init__(
        self,
        configuration: Configuration,
        writer: ConfigurationWriter,
        members: Members,
        rollout: RolloutQuery,
        metrics: Metrics,
        describe: Callable[[], dict[str, Any]],
        new_token: Callable[[], str],
        token: str,
    ) -> None:
        """Create the API.

        Args:
            configuration: The configuration in force at this node.
            writer: Writes changes to the store.
            members: The nodes and targets that this node knows of.
            rollout: Finds out at which nodes a revision is in force.
            metrics: The metrics of this node.
            describe: Returns the state of this node.
            new_token: Returns a unique token for a write.
            token: The bearer token that operators must send.
        """
        self._configuration = configuration
        self._writer = writer
        self._members = members
        self._rollout = rollout
        self._metrics = metrics
        self._describe = describe
        self._new_token = new_token
        self._token = token
        self._seed = int.from_bytes(urandom(8), 'big')
        self._watches = Watches(configuration)
        self._endpoints: dict[str, Callable[[Request, Reply], None]] = {
            'status': self._show_status,
            'metrics': self._show_metrics,
            'members': self._list_members,
            'node': self._show_node,
        }

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer one request."""
        sent_token = request.header('authorization').removeprefix(_BEARER)
        if self._hash(sent_token) != self._hash(self._token):
            _refuse(reply, ErrorKind.UNAUTHORIZED, 'token is missing or wrong')
            return
        path, _, query = request.path.partition('?')
        parts = [unquote(part) for part in path.strip('/').split('/')]
        match parts:
            case ['v1', endpoint] if endpoint in self._endpoints:
                self._endpoints[endpoint](request, reply)
            case ['v1', 'writes', token]:
                self._show_write(token, reply)
            case ['v1', kind] if kind in _KINDS_BY_PATH:
                self._handle_collection(
                    _KINDS_BY_PATH[kind], request, query, reply
                )
            case ['v1', kind, name] if kind in _KINDS_BY_PATH:
                self._handle_resource(
                    _KINDS_BY_PATH[kind], name, request, reply
                )
            case _:
                self._refuse_unknown(reply, request.path)

    def close(self) -> None:
        """End every open watch."""
        self._watches.close()

    def _hash(self, text: str) -> bytes:
        # Tokens are compared by a hash with a secret seed, so that the time
        # of the comparison does not reveal how long a matching prefix is.
        return xxh3_128_digest(text.encode(), self._seed)

    def _refuse_unknown(self, reply: Reply, path: str) -> None:
        _refuse(reply, ErrorKind.UNKNOWN_RESOURCE, f'no resource at {path!r}')

    # Collections.

    def _handle_collection(
        self,
        kind: Kind,
        request: Request,
        query: str,
        reply: Reply,
    ) -> None:
        if request.method != 'GET':
            _refuse(reply, ErrorKind.METHOD_NOT_ALLOWED, request.method)
            return
        watch = parse_qs(query).get('watch')
        if watch is None:
            reply.send(json_response(HTTPStatus.OK, self._list(kind)))
            return
        revision = parse_whole_number(watch[0])
        if revision is None:
            message = f'watch={watch[0]!r} is not a revision'
            _refuse(reply, ErrorKind.BAD_REQUEST, message)
        else:
            self._watches.open(kind, revision, reply)

    def _list(self, kind: Kind) -> dict[str, Any]:
        names = set(self._configuration.resources_of_kind(kind))
        if kind is Kind.TARGET:
            names.update(
                member.id for member in self._members.live() if member.service
            )
        if kind is Kind.AVAILABILITY_ZONE:
            names.update(self._members.zones())
        return {
            'revision': self._configuration.revision,
            'items': [
                self._resource_document(kind, name) for name in sorted(names)
            ],
        }

    def _resource_document(self, kind: Kind, name: str) -> dict[str, Any]:
        resource = self._configuration.get(kind, name)
        return {
            'kind': kind.value,
            'name': name,
            'revision': resource.revision if resource else 0,
            'spec': resource.document() if resource else None,
            'observed': self._observed_state(kind, name),
        }

    def _observed_state(self, kind: Kind, name: str) -> dict[str, Any]:
        live = self._members.live()
        if kind is Kind.TARGET:
            member = self._members.by_id.get(name)
            if member is None:
                return {'state': 'unknown'}
            return {
                'state': MemberState(member.state).name.lower(),
                'availability_zone': member.zone,
                'service': member.service,
            }
        if kind is Kind.SERVICE:
            live = [member for member in live if member.service == name]
        elif kind is Kind.AVAILABILITY_ZONE:
            live = [member for member in live if member.zone == name]
        else:
            return {}
        ready = [member for member in live if member.state == MemberState.READY]
        return {'nodes': len(live), 'ready_targets': len(ready)}

    # Single resources.

    def _handle_resource(
        self,
        kind: Kind,
        name: str,
        request: Request,
        reply: Reply,
    ) -> None:
        if request.method == 'GET':
            self._get(kind, name, reply)
        elif request.method == 'PUT':
            self._put(kind, name, request, reply)
        elif request.method == 'DELETE':
            self._write(kind, name, None, request, reply)
        else:
            _refuse(reply, ErrorKind.METHOD_NOT_ALLOWED, request.method)

    def _get(self, kind: Kind, name: str, reply: Reply) -> None:
        document = self._resource_document(kind, name)
        is_known = document['spec'] is not None or (
            kind is Kind.TARGET and name in self._members.by_id
        )
        if not is_known:
            self._refuse_unknown(reply, f'{kind.value}/{name}')
            return

        def on_status(status: RolloutStatus) -> None:
            document['status'] = status.document()
            reply.send(json_response(HTTPStatus.OK, document))

        self._rollout.query(document['revision'], on_status)

    def _put(
        self,
        kind: Kind,
        name: str,
        request: Request,
        reply: Reply,
    ) -> None:
        decoded = decode_json(request.body, dict[str, Any])
        if isinstance(decoded, Err):
            message = f'body is not a JSON object: {decoded.err_value}'
            _refuse(reply, ErrorKind.BAD_REQUEST, message)
            return
        document = decoded.ok_value
        parsed = parse_spec(kind, name, document)
        if isinstance(parsed, Err):
            message = '; '.join(str(fault) for fault in parsed.err_value)
            _refuse(reply, ErrorKind.INVALID_RESOURCE, message)
            return
        self._write(kind, name, document, request, reply)

    def _write(
        self,
        kind: Kind,
        name: str,
        document: dict[str, Any] | None,
        request: Request,
        reply: Reply,
    ) -> None:
        expected = request.header('if-match').strip('"')
        revision = parse_whole_number(expected)
        if expected and revision is None:
            message = f'if-match {expected!r} is not a revision'
            _refuse(reply, ErrorKind.BAD_REQUEST, message)
            return
        draft = Draft(
            request.header('bluebellsill-token') or self._new_token(),
            kind,
            name,
            document,
            revision,
        )
        self._writer.write(
            draft, lambda result: self._on_written(result, reply)
        )

    def _on_written(
        self,
        result: Result[Change, Problem],
        reply: Reply,
    ) -> None:
        if isinstance(result, Err):
            reply.send(self._problem_with_revision(result.err_value))
            return
        change = result.ok_value
        reply.send(json_response(HTTPStatus.OK, change_document(change)))

    def _problem_with_revision(self, problem: Problem) -> Response:
        response = problem_response(problem)
        revision = self._configuration.revision
        response.headers.append(('bluebellsill-revision', str(revision)))
        return response

    # Other endpoints.

    def _show_write(self, token: str, reply: Reply) -> None:
        for change in self._configuration.changes:
            if change.token == token:
                response = json_response(HTTPStatus.OK, change_document(change))
                reply.send(response)
                return
        message = f'no write with token {token!r} among the recent changes'
        _refuse(reply, ErrorKind.UNKNOWN_RESOURCE, message)

    def _show_status(self, request: Request, reply: Reply) -> None:
        query = parse_qs(request.path.partition('?')[2])
        text = query.get('revision', [str(self._configuration.revision)])[0]
        revision = parse_whole_number(text)
        if revision is None:
            message = f'revision={text!r} is not a revision'
            _refuse(reply, ErrorKind.BAD_REQUEST, message)
            return

        def on_status(status: RolloutStatus) -> None:
            reply.send(json_response(HTTPStatus.OK, status.document()))

        self._rollout.query(revision, on_status)

    def _show_metrics(self, request: Request, reply: Reply) -> None:
        reply.send(json_response(HTTPStatus.OK, self._metrics.document()))

    def _show_node(self, request: Request, reply: Reply) -> None:
        reply.send(json_response(HTTPStatus.OK, self._describe()))

    def _list_members(self, request: Request, reply: Reply) -> None:
        members = [
            {
                'id': member.id,
                'availability_zone': member.zone,
                'service': member.service,
                'state': MemberState(member.state).name.lower(),
                'incarnation': member.incarnation,
            }
            for member in self._members.by_id.values()
        ]
        reply.send(json_response(HTTPStatus.OK, {'items': members}))


def _refuse(reply: Reply, kind: ErrorKind, message: str) -> None:
    reply.send(problem_response(Problem(kind, message)))
