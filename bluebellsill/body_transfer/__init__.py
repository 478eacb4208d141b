"""Transfers request bodies between nodes, apart from the calls."""

from bluebellsill.body_transfer.call_links import CallLinks
from bluebellsill.body_transfer.receiver import BodyReceiver

__all__ = ('BodyReceiver', 'CallLinks')
