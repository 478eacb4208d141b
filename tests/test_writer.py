"""A change is written once, and its operator is told the truth."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok, Result

from bluebellsill.change_records import MAX_HEAD_CHANGES, Change, Draft, Head
from bluebellsill.clock import ManualClock
from bluebellsill.configuration import Configuration
from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.resources import Kind
from bluebellsill.timers import TimerService
from bluebellsill.writer import HEAD_KEY, ConfigurationWriter
from tests.fake_store import FakeStore

_WORDS = st.sampled_from(['ok', 'ok', 'down', 'lost', 'late', 'never', 'race'])
_ZONE = Kind.AVAILABILITY_ZONE


class Operator:
    """One operator, a node's writer and the store."""

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
        self.told: list[Result[Change, Problem]] = []
        self.store.race = self._race

    def write(self, token: str, expected: int | None = None) -> None:
        """Take a zone out."""
        draft = Draft(token, _ZONE, 'a', {'in_service': False}, expected)
        self.writer.write(draft, self.told.append)

    def let_pass(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(int(seconds * 10)):
            self.clock.advance(0.1)
            self.timers.run_due()

    def head(self) -> Head:
        """Return what the store holds."""
        record = self.store.records_by_key.get(HEAD_KEY)
        return Head.decode(record.payload) if record else Head()

    def _race(self) -> None:
        head = self.head()
        draft = Draft(f'rival-{head.revision}', _ZONE, 'b', {}, None)
        version = self.store._record(HEAD_KEY).version  # noqa: SLF001
        self.store._swap(HEAD_KEY, head.append(draft).encode(), version)  # noqa: SLF001


@settings(max_examples=600)
@given(st.lists(_WORDS, max_size=24))
def test_operator_is_told_the_truth(script: list[str]) -> None:
    operator = Operator(script)
    operator.write('mine')
    operator.let_pass(30)
    assert len(operator.told) == 1
    told = operator.told[0]
    written = [one for one in operator.head().changes if one.token == 'mine']
    assert len(written) <= 1
    if isinstance(told, Ok):
        assert written == [told.ok_value]
    elif told.err_value.kind is not ErrorKind.WRITE_UNRESOLVED:
        assert written == []
    revisions = [one.revision for one in operator.head().changes]
    assert revisions == list(range(1, len(revisions) + 1))


def test_lost_answer_is_found_by_reading_back() -> None:
    operator = Operator(['ok', 'lost'])
    operator.write('mine')
    operator.let_pass(1)
    assert operator.told[0].unwrap().revision == 1


def test_unresolved_write_names_its_token() -> None:
    operator = Operator(['ok', 'never', *['down'] * 99])
    operator.write('mine')
    operator.let_pass(30)
    problem = operator.told[0].unwrap_err()
    assert problem.kind is ErrorKind.WRITE_UNRESOLVED
    assert '/v1/writes/mine' in problem.message


def test_store_that_went_back_is_not_written() -> None:
    operator = Operator([])
    operator.write('one')
    operator.store.records_by_key.clear()
    operator.write('two')
    problem = operator.told[1].unwrap_err()
    assert problem.kind is ErrorKind.STORE_UNAVAILABLE
    assert operator.configuration.revision == 1


def test_long_log_is_moved_to_a_snapshot() -> None:
    operator = Operator([])
    for index in range(MAX_HEAD_CHANGES + 10):
        operator.write(f'write-{index}')
    head = operator.head()
    assert len(head.changes) <= MAX_HEAD_CHANGES
    newcomer = Operator([])
    newcomer.store.records_by_key = operator.store.records_by_key
    caught_up: list[bool] = []
    newcomer.writer.catch_up(head, caught_up.append)
    assert caught_up == [True]
    assert newcomer.configuration.revision == MAX_HEAD_CHANGES + 10
