"""Test settings: Hypothesis draws the same examples in every run."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

settings.register_profile(
    'deterministic',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('deterministic')

pytest_plugins = ['tests.proof_steps']
