"""Invalid settings and resources are rejected with all their faults."""

from __future__ import annotations

from pathlib import Path

from bluebellsill.load.generator import LoadPlan
from bluebellsill.node_command import EXIT_SETTINGS, run
from bluebellsill.resources import Kind, parse_spec
from bluebellsill.settings import Settings, load_toml

_VALID = """\
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
    return [str(fault) for fault in load_toml(path, settings_type).err() or []]


def test_valid_settings(tmp_path: Path) -> None:
    assert _faults(tmp_path, _VALID) == []


def test_every_fault_is_reported(tmp_path: Path) -> None:
    invalid = _VALID.replace('"piraeus"', '7').replace('127.0.0.1:9', 'nowhere')
    invalid = invalid.replace('token = "long-enough"', 'tokn = "x"')
    assert _faults(tmp_path, invalid) == [
        'node.availability_zone = 7: Expected `str`, got `int`',
        "store.address = 'nowhere': Expected `str` matching regex"
        " '^[0-9.]{7,15}:[0-9]{1,5}$'",
        "operators.tokn = 'x': is not a known key",
        'operators.token = nothing: is required',
    ]


def test_check_prints_faults_and_starts_nothing(tmp_path: Path, capsys) -> None:  # noqa: ANN001
    path = tmp_path / 'node.toml'
    path.write_text(_VALID.replace('[store]', '[stroe]'), encoding='utf-8')
    assert run(['--check', str(path)]) == EXIT_SETTINGS
    printed = capsys.readouterr().err
    assert f'{path}: stroe = ' in printed
    assert f'{path}: store = nothing: is required' in printed


def test_missing_and_damaged_files(tmp_path: Path) -> None:
    missing = load_toml(tmp_path / 'none.toml', Settings).err() or []
    assert 'No such file' in str(missing[0])
    assert 'line 1' in _faults(tmp_path, 'a = = b')[0]


def test_load_plan_faults(tmp_path: Path) -> None:
    plan = 'seconds = 0\nentries = ["here"]\nstreams = []\n'
    faults = _faults(tmp_path, plan, LoadPlan)
    assert [fault.partition(' =')[0] for fault in faults] == [
        'seconds',
        'entries',
    ]


def test_resource_faults() -> None:
    spec = {'slots': 0, 'callers': ['Outside!'], 'colour': 'blue'}
    faults = parse_spec(Kind.SERVICE, 'Book Ings', spec).err() or []
    assert [fault.key for fault in faults] == [
        'name',
        'spec.colour',
        'spec.callers',
        'spec.slots',
    ]
