"""Reads clients' requests, and bounds what clients make a node hold."""

from bluebellsill.client_input.budget import InputBudget
from bluebellsill.client_input.connection import ClientConnection
from bluebellsill.client_input.events import InputEvents
from bluebellsill.client_input.limits import InputBounds, RequestLimits
from bluebellsill.client_input.reply import Reply

__all__ = (
    'ClientConnection',
    'InputBounds',
    'InputBudget',
    'InputEvents',
    'Reply',
    'RequestLimits',
)
