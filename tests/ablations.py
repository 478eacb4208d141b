"""Takes one mechanism out at a time and shows which tests then fail.

``python -m tests.ablations [WORD...]`` plays those of ``ablations.toml``
whose mechanism has one of the words, each in a copy of the code, three at
a time.
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
_TIMEOUT = 300.0  # seconds
_AT_A_TIME = 3
_TESTS_FAILED = 1  # pytest's exit code


@dataclass(frozen=True)
class Ablation:
    """One mechanism, how to take it out, and the tests that need it."""

    mechanism: str
    file: str
    old: str
    new: str
    tests: list[str]

    def apply(self, directory: Path) -> None:
        """Take the mechanism out of a copy of the code."""
        path = directory / 'bluebellsill' / self.file
        source = path.read_text(encoding='utf-8')
        if self.old not in source:
            raise ValueError(f'{self.file} has no {self.old!r}')
        path.write_text(source.replace(self.old, self.new), encoding='utf-8')


def main(words: list[str]) -> int:
    """Play the ablations; the exit code is 1 if a test did not notice."""
    text = (_ROOT / 'tests' / 'ablations.toml').read_text(encoding='utf-8')
    ablations = [Ablation(**one) for one in tomllib.loads(text)['ablation']]
    chosen = [
        one
        for one in ablations
        if not words or any(word in one.mechanism for word in words)
    ]
    missed = 0
    with ThreadPoolExecutor(_AT_A_TIME) as pool:
        for one, (code, summary) in zip(chosen, pool.map(_play, chosen)):
            is_noticed = code == _TESTS_FAILED
            missed += not is_noticed
            verdict = 'noticed' if is_noticed else 'MISSED'
            sys.stdout.write(f'{verdict}: {one.mechanism}: {summary}\n')
            sys.stdout.flush()
    return int(missed > 0)


def _play(ablation: Ablation) -> tuple[int, str]:
    """Return pytest's exit code and its last line."""
    with tempfile.TemporaryDirectory(prefix='ablation-') as name:
        directory = Path(name)
        for part in _COPIED:
            shutil.copytree(_ROOT / part, directory / part)
        shutil.copy(_ROOT / 'pyproject.toml', directory)
        ablation.apply(directory)
        done = subprocess.run(
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
    return done.returncode, done.stdout.strip().splitlines()[-1]


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
