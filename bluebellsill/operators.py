"""The resource API that operators use; any node answers it."""

from __future__ import annotations

from http import HTTPStatus
from os import urandom
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, unquote

from msgspec import DecodeError, json
from result import Err, Result
from xxhash import xxh3_128_digest

from bluebellsill.change_records import Change, Draft
from bluebellsill.configuration import Configuration
from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.http import (
    Request,
    Response,
    json_response,
    problem_response,
)
from bluebellsill.http_server import Reply
from bluebellsill.membership import MemberState
from bluebellsill.resources import Kind, parse_spec
from bluebellsill.watches import Watches, change_document

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.membership import Members
    from bluebellsill.metrics import Metrics
    from bluebellsill.rollout import RolloutQuery, RolloutStatus
    from bluebellsill.writer import ConfigurationWriter

__all__ = ('OperatorApi',)

_KINDS_BY_PATH = {kind.value: kind for kind in Kind}
_BEARER = 'Bearer '


class OperatorApi:
    """Answers operators' requests from the configuration in force."""

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
            configuration: What is in force at this node.
            writer: Writes changes to the store.
            members: The nodes and the targets beside them.
            rollout: Tells what is in force elsewhere.
            metrics: What this node has served.
            describe: Returns the state of this node.
            new_token: Returns a unique token for a write.
            token: What operators must send.
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
        self._pages: dict[str, Callable[[Request, Reply], None]] = {
            'status': self._status,
            'metrics': self._show_metrics,
            'members': self._list_members,
            'node': self._show_node,
        }

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer one request."""
        given = request.header('authorization').removeprefix(_BEARER)
        if self._hash(given) != self._hash(self._token):
            _refuse(reply, ErrorKind.UNAUTHORIZED, 'token is missing or wrong')
            return
        path, _, query = request.path.partition('?')
        parts = [unquote(part) for part in path.strip('/').split('/')]
        match parts:
            case ['v1', page] if page in self._pages:
                self._pages[page](request, reply)
            case ['v1', 'writes', token]:
                self._find_write(token, reply)
            case ['v1', kind] if kind in _KINDS_BY_PATH:
                self._on_collection(_KINDS_BY_PATH[kind], request, query, reply)
            case ['v1', kind, name] if kind in _KINDS_BY_PATH:
                self._on_resource(_KINDS_BY_PATH[kind], name, request, reply)
            case _:
                self._unknown(reply, request.path)

    def close(self) -> None:
        """End every open watch."""
        self._watches.close()

    def _hash(self, text: str) -> bytes:
        # Hashes with a secret seed, whose comparison tells no prefix.
        return xxh3_128_digest(text.encode(), self._seed)

    def _unknown(self, reply: Reply, path: str) -> None:
        _refuse(reply, ErrorKind.UNKNOWN_RESOURCE, f'no resource at {path!r}')

    # Collections.

    def _on_collection(
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
        elif watch[0].isdecimal():
            self._watches.open(kind, int(watch[0]), reply)
        else:
            message = f'watch={watch[0]!r} is not a revision'
            _refuse(reply, ErrorKind.BAD_REQUEST, message)

    def _list(self, kind: Kind) -> dict[str, Any]:
        names = set(self._configuration.of_kind(kind))
        if kind is Kind.TARGET:
            names.update(
                member.id for member in self._members.live() if member.service
            )
        if kind is Kind.AVAILABILITY_ZONE:
            names.update(self._members.zones())
        return {
            'revision': self._configuration.revision,
            'items': [self._document(kind, name) for name in sorted(names)],
        }

    def _document(self, kind: Kind, name: str) -> dict[str, Any]:
        resource = self._configuration.get(kind, name)
        return {
            'kind': kind.value,
            'name': name,
            'revision': resource.revision if resource else 0,
            'spec': resource.document() if resource else None,
            'observed': self._observed(kind, name),
        }

    def _observed(self, kind: Kind, name: str) -> dict[str, Any]:
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
        ready = [one for one in live if one.state == MemberState.READY]
        return {'nodes': len(live), 'ready_targets': len(ready)}

    # Single resources.

    def _on_resource(
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
        document = self._document(kind, name)
        is_known = document['spec'] is not None or (
            kind is Kind.TARGET and name in self._members.by_id
        )
        if not is_known:
            self._unknown(reply, f'{kind.value}/{name}')
            return

        def on_status(status: RolloutStatus) -> None:
            document['status'] = status.document()
            reply.send(json_response(HTTPStatus.OK, document))

        self._rollout.ask(document['revision'], on_status)

    def _put(
        self,
        kind: Kind,
        name: str,
        request: Request,
        reply: Reply,
    ) -> None:
        try:
            document = json.decode(request.body, type=dict[str, Any])
        except DecodeError as error:
            message = f'body is not a JSON object: {error}'
            _refuse(reply, ErrorKind.BAD_REQUEST, message)
            return
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
        if expected and not expected.isdecimal():
            message = f'if-match {expected!r} is not a revision'
            _refuse(reply, ErrorKind.BAD_REQUEST, message)
            return
        draft = Draft(
            request.header('bluebellsill-token') or self._new_token(),
            kind,
            name,
            document,
            int(expected) if expected else None,
        )
        self._writer.write(draft, lambda done: self._on_written(done, reply))

    def _on_written(
        self,
        done: Result[Change, Problem],
        reply: Reply,
    ) -> None:
        if isinstance(done, Err):
            reply.send(self._with_current(done.err_value))
            return
        change = done.ok_value
        reply.send(json_response(HTTPStatus.OK, change_document(change)))

    def _with_current(self, problem: Problem) -> Response:
        response = problem_response(problem)
        revision = self._configuration.revision
        response.headers.append(('bluebellsill-revision', str(revision)))
        return response

    # Other pages.

    def _find_write(self, token: str, reply: Reply) -> None:
        for change in self._configuration.changes:
            if change.token == token:
                response = json_response(HTTPStatus.OK, change_document(change))
                reply.send(response)
                return
        message = f'no accepted write {token!r} among the newest changes'
        _refuse(reply, ErrorKind.UNKNOWN_RESOURCE, message)

    def _status(self, request: Request, reply: Reply) -> None:
        query = parse_qs(request.path.partition('?')[2])
        text = query.get('revision', [str(self._configuration.revision)])[0]
        if not text.isdecimal():
            message = f'revision={text!r} is not a revision'
            _refuse(reply, ErrorKind.BAD_REQUEST, message)
            return

        def on_status(status: RolloutStatus) -> None:
            reply.send(json_response(HTTPStatus.OK, status.document()))

        self._rollout.ask(int(text), on_status)

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
