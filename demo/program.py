"""Starts a program of the product and follows its process."""

from __future__ import annotations

import json
import os
import select
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import signal
    from collections.abc import Sequence

BIN = Path(sys.executable).parent
_START_WAIT = 20.0  # seconds
_STOP_WAIT = 15.0  # seconds


class Process:
    """A program that prints where it listens."""

    def __init__(
        self,
        arguments: Sequence[str],
        log: Path,
        *,
        output_to_log: bool = False,
    ) -> None:
        """Start the program.

        Args:
            arguments: The program's name and its arguments.
            log: Where its standard error goes.
            output_to_log: Whether its standard output goes there too, for
                a program that does not tell there where it listens.
        """
        self.log = log
        with log.open('ab') as errors:
            self._process = subprocess.Popen(
                [str(BIN / arguments[0]), *arguments[1:]],
                stdout=errors if output_to_log else subprocess.PIPE,
                stderr=errors,
            )
        self.listening: Any = None

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def read_listening(self) -> None:
        """Wait until the program tells where it listens."""
        assert self._process.stdout is not None
        ready, _, _ = select.select([self._process.stdout], [], [], _START_WAIT)
        line = self._process.stdout.readline() if ready else b''
        if not line:
            raise RuntimeError(f'no start: {self.log.read_text()[-2000:]}')
        self.listening = json.loads(line)['listening']

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self._process.poll() is None:
            os.kill(self.pid, number)

    def wait(self, seconds: float = _STOP_WAIT) -> int:
        """Wait for the end and return the exit code."""
        return self._process.wait(seconds)

    @property
    def has_ended(self) -> bool:
        """Whether the program has ended."""
        return self._process.poll() is not None

    def kill(self) -> None:
        """Kill the program and wait for its end."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait(_STOP_WAIT)
        if self._process.stdout is not None:
            self._process.stdout.close()
