"""Path rules of the platform's routing documents, for tests."""

from __future__ import annotations

from typing import Any

__all__ = ('path_rule',)


def path_rule(prefix: str, service: str = 'shop', **changes: Any) -> Any:
    """Return a rule that sends a path prefix to a service."""
    return {
        'name': f'r-{service}-{prefix.strip("/")}',
        'prefix': prefix,
        'route_type': 'idempotent',
        'timeout_ms': 1000,
        'target_latency_ms': 500,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
    } | changes
