"""The settings of a platform node: valid ones load, faults are reported."""

from __future__ import annotations

from pathlib import Path

import pytest

from bluebellsill.mesh_command import load, run
from bluebellsill.mesh_settings import LimitSettings

_VALID = """
seeds = ["10.0.0.9:8620"]
[node]
name = "vm-1"
availability_zone = "attica-a"
is_first_start = true
[listen]
peers = "10.0.0.1:7600"
callers = "10.0.0.1:8629"
reports = "10.0.0.1:8620"
ready = "10.0.0.1:8625"
metrics = "10.0.0.1:7615"
[target]
service = "shop"
address = "10.0.0.1:8628"
[store]
address = "10.0.9.1:8627"
[bounds]
grace_s = 6
a_future_bound = true
[overload]
order = "cost"
[limits]
memory_mb = 200
max_descriptors = 4100
"""


def test_valid_settings_are_loaded(tmp_path: Path) -> None:
    path = tmp_path / 'node.toml'
    path.write_text(_VALID)
    settings = load(path).unwrap()
    assert settings.enforced_bounds().grace_s == 6
    assert settings.overload.order == 'cost'
    assert settings.limits == LimitSettings(200, 4100)
    assert run([str(path), '--check']) == 0


@pytest.mark.parametrize(
    ('old', 'new', 'message'),
    [
        ('"10.0.0.1:7600"', '"here"', "listen.peers = 'here'"),
        ('name = "vm-1"', '', 'node.name = nothing: is required'),
        ('[store]', '[shop]', 'store = nothing: is required'),
        ('grace_s = 6', 'grace_s = -1', "bounds = {'grace_s': -1"),
        ('grace_s = 6', 'grace_s = ', 'file ='),
        ('order = "cost"', 'order = "cheap"', "overload.order = 'cheap'"),
        ('memory_mb = 200', 'memory_mb = 0', 'limits.memory_mb = 0'),
        ('is_first_start = true', 'is_first_start = 3', 'is_first_start = 3'),
    ],
)
def test_invalid_settings_are_rejected_with_the_fault(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    old: str,
    new: str,
    message: str,
) -> None:
    path = tmp_path / 'node.toml'
    path.write_text(_VALID.replace(old, new))
    assert run([str(path)]) == 2
    assert message in capsys.readouterr().err


def test_overload_is_handled_by_priority_unless_settings_say_otherwise(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'node.toml'
    path.write_text(_VALID.partition('[overload]')[0])
    assert load(path).unwrap().overload.order == 'priority'


def test_settings_without_limits_of_the_vm_are_valid(tmp_path: Path) -> None:
    # Deployments may render no such section; then there are no such limits.
    path = tmp_path / 'node.toml'
    path.write_text(_VALID.partition('[limits]')[0])
    assert load(path).unwrap().limits == LimitSettings()
