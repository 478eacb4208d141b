"""Starts an installed program and controls its process."""

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
_START_TIMEOUT = 20.0  # seconds until a program prints its addresses
_STOP_TIMEOUT = 15.0  # seconds until a program has exited


class Process:
    """The process of a program that prints its listening addresses."""

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
            log: The file for its standard error.
            output_to_log: Whether standard output goes to the log too, for
                a program that does not print its listening addresses.
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
        """Wait until the program prints its listening addresses."""
        assert self._process.stdout is not None
        ready, _, _ = select.select(
            [self._process.stdout], [], [], _START_TIMEOUT
        )
        line = self._process.stdout.readline() if ready else b''
        if not line:
            raise RuntimeError(
                f'program did not start: {self.log.read_text()[-2000:]}'
            )
        self.listening = json.loads(line)['listening']

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self._process.poll() is None:
            os.kill(self.pid, number)

    def wait(self, seconds: float = _STOP_TIMEOUT) -> int:
        """Wait for the process to exit and return the exit code."""
        return self._process.wait(seconds)

    @property
    def has_ended(self) -> bool:
        """Whether the process has exited."""
        return self._process.poll() is not None

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait(_STOP_TIMEOUT)
        if self._process.stdout is not None:
            self._process.stdout.close()
