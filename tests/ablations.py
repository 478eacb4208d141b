"""Disables one mechanism at a time and checks that its tests then fail.

``python -m tests.ablations [WORD...]`` runs the entries of ``ablations.toml``
whose mechanism contains one of the words. Each runs in a copy of the code, up
to three at a time.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

_ROOT = Path(__file__).parent.parent
_COPIED = ('bluebellsill', 'demo', 'tests', 'deployments')
_TIMEOUT = 300.0  # seconds for the tests of one ablation
_MAX_PARALLEL = 3
_TESTS_FAILED = 1  # pytest's exit code


@dataclass(frozen=True)
class Ablation:
    """A source change that disables a mechanism, and the tests that must fail.

    Attributes:
        mechanism: What is disabled.
        file: The source file, below the package directory.
        old: The source text to replace.
        new: The text that replaces it.
        tests: The arguments for pytest.
    """

    mechanism: str
    file: str
    old: str
    new: str
    tests: list[str]

    def apply(self, directory: Path) -> None:
        """Disable the mechanism in a copy of the code."""
        path = directory / 'bluebellsill' / self.file
        source = path.read_text(encoding='utf-8')
        if self.old not in source:
            raise ValueError(f'{self.file} does not contain {self.old!r}')
        path.write_text(source.replace(self.old, self.new), encoding='utf-8')


def main(words: list[str]) -> int:
    """Run the ablations; the exit code is 1 if one was not detected."""
    text = (_ROOT / 'tests' / 'ablations.toml').read_text(encoding='utf-8')
    ablations = [Ablation(**one) for one in tomllib.loads(text)['ablation']]
    chosen = [
        one
        for one in ablations
        if not words or any(word in one.mechanism for word in words)
    ]
    undetected = 0
    with ThreadPoolExecutor(_MAX_PARALLEL) as pool:
        for one, (code, summary) in zip(chosen, pool.map(_run, chosen)):
            is_detected = code == _TESTS_FAILED
            undetected += not is_detected
            verdict = 'noticed' if is_detected else 'MISSED'
            sys.stdout.write(f'{verdict}: {one.mechanism}: {summary}\n')
            sys.stdout.flush()
    return int(undetected > 0)


def _run(ablation: Ablation) -> tuple[int, str]:
    """Return the exit code of pytest and the last line of its output."""
    with tempfile.TemporaryDirectory(prefix='ablation-') as name:
        directory = Path(name)
        for part in _COPIED:
            shutil.copytree(_ROOT / part, directory / part)
        shutil.copy(_ROOT / 'pyproject.toml', directory)
        ablation.apply(directory)
        completed = subprocess.run(
            [
                sys.executable,
                '-m',
                'pytest',
                '--tb=no',
                '--timeout=60',
                *ablation.tests,
            ],
            cwd=directory,
            env={**os.environ, 'PYTHONPATH': name},
            capture_output=True,
            check=False,
            text=True,
            timeout=_TIMEOUT,
        )
    return completed.returncode, completed.stdout.strip().splitlines()[-1]


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
