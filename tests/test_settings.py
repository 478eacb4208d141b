"""Settings and resources are refused with all their faults at once."""

from __future__ import annotations

from pathlib import Path

from bluebellsill.load.player import LoadPlan
from bluebellsill.node_command import EXIT_SETTINGS, run
from bluebellsill.resources import Kind, parse_spec
from bluebellsill.settings import Settings, load_toml

_GOOD = """\
[node]
availability_zone = "piraeus"
[listen]
peers = "127.0.0.1:0"
callers = "127.0.0.1:0"
target = "127.0.0.1:0"
operators = "127.0.0.1:0"
[store]
address = "127.0.0.1:9"
[operators]
token = "long-enough"
"""


def _faults(
    tmp_path: Path, text: str, settings_type: type = Settings
) -> list[str]:
    path = tmp_path / 'node.toml'
    path.write_text(text, encoding='utf-8')
    return [str(one) for one in load_toml(path, settings_type).err() or []]


def test_good_settings(tmp_path: Path) -> None:
    assert _faults(tmp_path, _GOOD) == []


def test_every_fault_is_told(tmp_path: Path) -> None:
    bad = _GOOD.replace('"piraeus"', '7').replace('127.0.0.1:9', 'nowhere')
    bad = bad.replace('token = "long-enough"', 'tokn = "x"')
    assert _faults(tmp_path, bad) == [
        'node.availability_zone = 7: Expected `str`, got `int`',
        "store.address = 'nowhere': Expected `str` matching regex"
        " '^[0-9.]{7,15}:[0-9]{1,5}$'",
        "operators.tokn = 'x': is not a known key",
        'operators.token = nothing: is required',
    ]


def test_check_prints_faults_and_starts_nothing(tmp_path: Path, capsys) -> None:  # noqa: ANN001
    path = tmp_path / 'node.toml'
    path.write_text(_GOOD.replace('[store]', '[stroe]'), encoding='utf-8')
    assert run(['--check', str(path)]) == EXIT_SETTINGS
    told = capsys.readouterr().err
    assert f'{path}: stroe = ' in told
    assert f'{path}: store = nothing: is required' in told


def test_missing_and_damaged_files(tmp_path: Path) -> None:
    missing = load_toml(tmp_path / 'none.toml', Settings).err() or []
    assert 'No such file' in str(missing[0])
    assert 'line 1' in _faults(tmp_path, 'a = = b')[0]


def test_load_plan_faults(tmp_path: Path) -> None:
    plan = 'seconds = 0\nentries = ["here"]\nstreams = []\n'
    told = _faults(tmp_path, plan, LoadPlan)
    assert [one.partition(' =')[0] for one in told] == ['seconds', 'entries']


def test_resource_faults() -> None:
    spec = {'slots': 0, 'callers': ['Outside!'], 'colour': 'blue'}
    faults = parse_spec(Kind.SERVICE, 'Book Ings', spec).err() or []
    assert [fault.key for fault in faults] == [
        'name',
        'spec.colour',
        'spec.callers',
        'spec.slots',
    ]
