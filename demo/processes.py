"""Reads the memory and CPU time of a process from /proc."""

from __future__ import annotations

import os
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
# Positions of utime and stime among the fields after the command name.
_USER_FIELD = 11
_SYSTEM_FIELD = 12
_KIB_PER_MIB = 1024


def resident(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    text = Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    line = text.partition('VmRSS:')[2].split()[0]
    return int(line) / _KIB_PER_MIB


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    text = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return ticks / _TICKS_PER_SECOND
