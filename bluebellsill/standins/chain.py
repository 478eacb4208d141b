"""How a stand-in target calls the next service of a chain."""

from __future__ import annotations

from bluebellsill.http import Request

__all__ = ('onward_request',)

_HANDED_ON = frozenset(
    ('bluebellsill-deadline-ms', 'bluebellsill-correlation', 'x-nonce'),
)


def onward_request(request: Request, chain: str, host: str) -> Request:
    """Return the request for the next service.

    The deadline and the correlation id are handed on, as real targets of
    this system are asked to do.

    Args:
        request: What the target was asked.
        chain: The services that are still to be called, by commas.
        host: Where the node beside the target listens.
    """
    service, _, rest = chain.partition(',')
    query = request.path.partition('?')[2]
    others = [
        option
        for option in query.split('&')
        if option and not option.startswith('chain=')
    ]
    if rest:
        others.append(f'chain={rest}')
    path = f'/{service}/x?{"&".join(others)}'
    headers = [
        (name, text) for name, text in request.headers if name in _HANDED_ON
    ]
    return Request('GET', path.rstrip('?'), [('host', host), *headers])
