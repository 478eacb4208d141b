"""Calls of a simulated target to the next service of a chain."""

from __future__ import annotations

from bluebellsill.http import Request

__all__ = ('onward_request',)

_FORWARDED_HEADERS = frozenset(
    ('bluebellsill-deadline-ms', 'bluebellsill-correlation', 'x-nonce'),
)


def onward_request(request: Request, chain: str, host: str) -> Request:
    """Return the request for the next service.

    The deadline and the correlation id are forwarded, as is expected of
    real targets.

    Args:
        request: The request that the target received.
        chain: The remaining services of the chain, separated by commas.
        host: The target listener of the target's node.
    """
    service, _, rest = chain.partition(',')
    query = request.path.partition('?')[2]
    options = [
        option
        for option in query.split('&')
        if option and not option.startswith('chain=')
    ]
    if rest:
        options.append(f'chain={rest}')
    path = f'/{service}/x?{"&".join(options)}'
    headers = [
        (name, text)
        for name, text in request.headers
        if name in _FORWARDED_HEADERS
    ]
    return Request('GET', path.rstrip('?'), [('host', host), *headers])
