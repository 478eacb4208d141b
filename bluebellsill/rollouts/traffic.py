"""Which versions of a service's targets an entry node sends requests to."""

from __future__ import annotations

from enum import Enum, unique
from typing import TYPE_CHECKING

from bluebellsill.logs import get_logger
from bluebellsill.messages import CanaryReport
from bluebellsill.rendezvous import rank
from bluebellsill.replica_version import StorePosition
from bluebellsill.rollouts.evidence import Outcomes
from bluebellsill.rollouts.order import CanaryStage

if TYPE_CHECKING:
    from collections.abc import Collection

    from bluebellsill.gossip_messages import Member
    from bluebellsill.messages import CanaryShare
    from bluebellsill.rollouts.order import CanaryOrder, CanaryRecord

__all__ = ('ServiceTraffic',)

_MAX_SILENCE = 5.0  # seconds without news for which the share is kept
_MAX_WIDTH = 16  # new targets that an entry node calls during the release
_NO_TOKEN = StorePosition(0, 0)


@unique
class _Mode(Enum):
    """Which versions get requests."""

    BASE = 'base'  # and a share of them the new version
    NEW = 'new'


class ServiceTraffic:
    """Divides the requests for a service between two versions of its targets.

    A release that was rolled back stays so, whoever says otherwise, unless the
    store has its completion: then the old targets have stopped.

    Attributes:
        order: The order in force.
        stage: How far the release has come, as far as this node has heard.
        token: The fencing token of the latest news.
        acting_id: The node that sent it, empty for none.
        heard_at: When it came, in seconds; None before.
    """

    def __init__(
        self, order: CanaryOrder, base_versions: frozenset[str]
    ) -> None:
        """Create the state of a new order.

        Args:
            order: The order.
            base_versions: The versions that ran before, empty if unknown.
        """
        self.order = order
        self.stage = CanaryStage.RUNNING
        self.token = _NO_TOKEN
        self.acting_id = ''
        self.heard_at: float | None = None
        self.base_versions = base_versions
        self._share: float = 0
        self._width = 1
        self._mode = _Mode.BASE
        self._due: float = 0  # part of a request that the new version is owed
        self._requests = 0
        self._canary_requests = 0
        self._outcomes = Outcomes()
        self._version_by_id: dict[str, str] = {}
        self._log = get_logger('rollouts')

    def on_share(self, news: CanaryShare, now: float) -> bool:
        """Process the news of an acting node.

        Returns:
            Whether it was accepted.
        """
        stage = _stage(news.stage)
        token = StorePosition(news.epoch, news.revision)
        is_stale = token < self.token
        if stage is None or is_stale or not 0 <= news.share <= 1:
            self._log.warning(
                'canary share ignored',
                service=self.order.service,
                sender=news.sender_id,
                stage=news.stage,
                share=news.share,
                token=news.revision,
                known_token=self.token.revision,
            )
            return False
        self.token = token
        self.acting_id = news.sender_id
        self.heard_at = now
        if news.base_versions:
            self.base_versions = frozenset(news.base_versions)
        self._width = min(_MAX_WIDTH, max(1, news.width))
        self._follow(stage, news.share)
        return True

    def on_record(self, record: CanaryRecord) -> None:
        """Follow what the store has of this order, if it has ended."""
        if record.base_versions:
            self.base_versions = record.base_versions
        if record.stage.is_final:
            self._follow(record.stage, 0)

    def on_stage(self, stage: CanaryStage, share: float, width: int) -> None:
        """Follow the decision of this node itself."""
        self._width = min(_MAX_WIDTH, max(1, width))
        self._follow(stage, share)

    def refresh(self, now: float) -> bool:
        """Update what depends on the time.

        Returns:
            Whether other targets are to be used than before.
        """
        is_new = self.stage is CanaryStage.COMPLETED or (
            self.stage is CanaryStage.SWITCHING and self._is_heard(now)
        )
        mode = _Mode.NEW if is_new else _Mode.BASE
        has_changed = mode is not self._mode
        if has_changed:
            self._log.info(
                'versions with requests changed',
                service=self.order.service,
                target_version=self.order.target_version,
                stage=self.stage.value,
                uses=mode.value,
            )
        self._mode = mode
        return has_changed

    def split(
        self, members: Collection[Member]
    ) -> tuple[list[Member], list[Member]]:
        """Return the targets for most requests, and those for the share.

        Args:
            members: The ready targets.
        """
        version = self.order.target_version
        self._version_by_id = {one.id: one.target_version for one in members}
        new = [one for one in members if one.target_version == version]
        others = [one for one in members if one.target_version != version]
        old = [one for one in others if self._is_base(one)] or others
        if self._mode is _Mode.NEW:
            return new or old, []
        if not old and self._may_replace_base:
            return new, []
        if self.stage is not CanaryStage.RUNNING:
            return old, []
        ids = rank(self.order.service, [one.id for one in new], self._width)
        return old, [one for one in new if one.id in ids]

    def takes_canary(self, now: float, *, has_canary: bool) -> bool:
        """Return whether a new request goes to the new version; count it.

        Args:
            now: The time in seconds.
            has_canary: Whether a target of that version can be used.
        """
        self._requests += 1
        if self._mode is _Mode.NEW:
            self._canary_requests += 1
            return False
        is_running = self.stage is CanaryStage.RUNNING
        if not (is_running and has_canary and self._is_heard(now)):
            return False
        self._due += self._share
        if self._due < 1:
            return False
        self._due -= 1
        self._canary_requests += 1
        return True

    def on_outcome(
        self, node_id: str, route: str, seconds: float, *, has_failed: bool
    ) -> None:
        """Count the outcome of a request that a target has run."""
        version = self._version_by_id.get(node_id)
        if not version:
            return
        is_canary = version == self.order.target_version
        if is_canary or self._is_base_version(version):
            self._outcomes.record(
                route, seconds, is_canary=is_canary, has_failed=has_failed
            )

    def take_report(self) -> CanaryReport | None:
        """Return what is to be reported since the last call, None if nothing."""
        rows = self._outcomes.rows()
        if not rows and not self._requests:
            return None
        report = CanaryReport(
            self.order.service,
            self.order.target_version,
            self._requests,
            self._canary_requests,
            rows,
        )
        self._requests = 0
        self._canary_requests = 0
        self._outcomes = Outcomes()
        return report

    @property
    def _may_replace_base(self) -> bool:
        """Whether the new version may run what no other target can.

        During the switch, the old targets may have stopped already. A node
        without news, as after a restart, cannot tell that they have not.
        """
        if self.stage is CanaryStage.RUNNING:
            return self.heard_at is None
        return self.stage is CanaryStage.SWITCHING

    def _follow(self, stage: CanaryStage, share: float) -> None:
        is_back = self.stage is CanaryStage.ROLLED_BACK
        if self.stage is CanaryStage.COMPLETED or (
            is_back and stage is not CanaryStage.COMPLETED
        ):
            return
        self.stage = stage
        self._share = share

    def _is_heard(self, now: float) -> bool:
        heard_at = self.heard_at
        return heard_at is not None and now - heard_at <= _MAX_SILENCE

    def _is_base(self, member: Member) -> bool:
        return self._is_base_version(member.target_version)

    def _is_base_version(self, version: str) -> bool:
        if self.base_versions:
            return version in self.base_versions
        return version not in {'', self.order.target_version}


def _stage(text: str) -> CanaryStage | None:
    """Return a stage from a peer, None for one that this build lacks."""
    try:
        return CanaryStage(text)
    except ValueError:
        return None
