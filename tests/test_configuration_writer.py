"""A change is written at most once, and the reported result is correct."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok, Result

from bluebellsill.change_records import MAX_HEAD_CHANGES, Change, Draft, Head
from bluebellsill.clock import ManualClock
from bluebellsill.configuration import Configuration
from bluebellsill.configuration_writer import HEAD_KEY, ConfigurationWriter
from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.resources import Kind
from bluebellsill.timers import TimerService
from tests.fake_store import FakeStore

_OUTCOMES = st.sampled_from(
    ['ok', 'ok', 'down', 'lost', 'late', 'never', 'race']
)
_ZONE = Kind.AVAILABILITY_ZONE


class WriterHarness:
    """A configuration writer with a scripted store and a manual clock."""

    def __init__(self, script: list[str]) -> None:
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        self.store = FakeStore(self.timers, script)
        self.configuration = Configuration()
        self.writer = ConfigurationWriter(
            self.store,
            self.timers,
            self.configuration,
        )
        self.results: list[Result[Change, Problem]] = []
        self.store.on_race = self._write_concurrently

    def write(self, token: str, required_revision: int | None = None) -> None:
        """Write a change that takes a zone out of service."""
        draft = Draft(
            token, _ZONE, 'a', {'in_service': False}, required_revision
        )
        self.writer.write(draft, self.results.append)

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps and run the due timers."""
        for _ in range(int(seconds * 10)):
            self.clock.advance(0.1)
            self.timers.run_due()

    def head(self) -> Head:
        """Return the head record in the store."""
        record = self.store.records_by_key.get(HEAD_KEY)
        return Head.decode(record.payload) if record else Head()

    def _write_concurrently(self) -> None:
        head = self.head()
        draft = Draft(f'rival-{head.revision}', _ZONE, 'b', {}, None)
        version = self.store._record(HEAD_KEY).version  # noqa: SLF001
        self.store._try_write(HEAD_KEY, head.append(draft).encode(), version)  # noqa: SLF001


@settings(max_examples=600)
@given(st.lists(_OUTCOMES, max_size=24))
def test_reported_result_matches_the_store(script: list[str]) -> None:
    harness = WriterHarness(script)
    harness.write('mine')
    harness.advance(30)
    assert len(harness.results) == 1
    result = harness.results[0]
    written = [
        change for change in harness.head().changes if change.token == 'mine'
    ]
    assert len(written) <= 1
    if isinstance(result, Ok):
        assert written == [result.ok_value]
    elif result.err_value.kind is not ErrorKind.WRITE_UNRESOLVED:
        assert written == []
    revisions = [change.revision for change in harness.head().changes]
    assert revisions == list(range(1, len(revisions) + 1))


def test_lost_response_is_resolved_by_reading_the_head() -> None:
    harness = WriterHarness(['ok', 'lost'])
    harness.write('mine')
    harness.advance(1)
    assert harness.results[0].unwrap().revision == 1


def test_unresolved_write_names_its_token() -> None:
    harness = WriterHarness(['ok', 'never', *['down'] * 99])
    harness.write('mine')
    harness.advance(30)
    problem = harness.results[0].unwrap_err()
    assert problem.kind is ErrorKind.WRITE_UNRESOLVED
    assert '/v1/writes/mine' in problem.message


def test_store_at_an_older_revision_is_not_written() -> None:
    harness = WriterHarness([])
    harness.write('one')
    harness.store.records_by_key.clear()
    harness.write('two')
    problem = harness.results[1].unwrap_err()
    assert problem.kind is ErrorKind.STORE_UNAVAILABLE
    assert harness.configuration.revision == 1


def test_long_head_is_compacted_into_a_snapshot() -> None:
    harness = WriterHarness([])
    for index in range(MAX_HEAD_CHANGES + 10):
        harness.write(f'write-{index}')
    head = harness.head()
    assert len(head.changes) <= MAX_HEAD_CHANGES
    restarted = WriterHarness([])
    restarted.store.records_by_key = harness.store.records_by_key
    caught_up: list[bool] = []
    restarted.writer.catch_up(head, caught_up.append)
    assert caught_up == [True]
    assert restarted.configuration.revision == MAX_HEAD_CHANGES + 10
