"""Reads what a process spends from the kernel."""

from __future__ import annotations

import os
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_USER_FIELD = 11
_SYSTEM_FIELD = 12
_KILO = 1024


def resident(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    text = Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    line = text.partition('VmRSS:')[2].split()[0]
    return int(line) / _KILO


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return ticks / _TICKS_PER_SECOND
