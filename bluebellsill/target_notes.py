"""What an entry node knows that targets ask of all nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bluebellsill.messages import TargetNote

__all__ = ('TargetNotes', 'paced_wait')

_MAX_NOTES = 256  # of one service; a subset of targets has far fewer


class TargetNotes:
    """Keeps the last note of each target.

    It outlives the membership of the target's node, which may be restarted
    and then know less about its target than the entry nodes.
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self._by_node_id: dict[str, TargetNote] = {}

    def of(self, node_id: str) -> TargetNote | None:
        """Return the note of the target beside a node, None if it has none."""
        return self._by_node_id.get(node_id)

    def record(self, node_id: str, note: TargetNote | None) -> None:
        """Replace the note of a target.

        A target that leaves does not come back, so the end of its note does
        not revoke the departure.

        Args:
            node_id: The node beside the target.
            note: The note, None if the target asks for nothing any more.
        """
        known = self._by_node_id.pop(node_id, None)
        if note is None and known is not None and known.is_leaving:
            note = known
        if note is None:
            return
        self._by_node_id[node_id] = note
        if len(self._by_node_id) > _MAX_NOTES:
            self._by_node_id.pop(next(iter(self._by_node_id)))


def paced_wait(note: TargetNote | None, seconds: float) -> float:
    """Return the wait for a target that states its rate, 0 for others."""
    is_paced = note is not None and note.rate_limit is not None
    return seconds if is_paced else 0
