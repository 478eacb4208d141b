"""Plots the results of experiments; needs the extra ``plots``.

``python -m demo.plot`` reads ``experiments/results/*.json`` and writes one
SVG file beside each: p50 and p99 of each stream by load balancing policy.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import matplotlib as mpl

mpl.use('svg')

from matplotlib import pyplot as plt  # noqa: E402

_RESULTS = Path('experiments/results')
_WIDTH = 0.8  # fraction of the space of a stream that its bars take
_SIZE = (7, 3.2)  # inches


def main() -> int:
    """Plot every result file."""
    # A fixed salt for element ids: the same results give the same file.
    mpl.rcParams['svg.hashsalt'] = 'bluebellsill'
    for path in sorted(_RESULTS.glob('*.json')):
        document = json.loads(path.read_text(encoding='utf-8'))
        _draw(document, path.with_suffix('.svg'))
    return 0


def _draw(document: dict[str, Any], target: Path) -> None:
    results = document['results']
    figure, axes = plt.subplots(figsize=_SIZE)
    streams: list[str] = []
    for index, (choice, report) in enumerate(results.items()):
        streams = list(report['streams'])
        latencies = [one['latency'] for one in report['streams'].values()]
        width = _WIDTH / len(results)
        places = [place + index * width for place in range(len(streams))]
        high = [latency['p99_ms'] for latency in latencies]
        middle = [latency['p50_ms'] for latency in latencies]
        bars = axes.bar(places, high, width * 0.9, label=choice, alpha=0.6)
        color = bars[0].get_facecolor()
        axes.bar(places, middle, width * 0.9, color=color)
    axes.set_xticks(range(len(streams)), streams)
    axes.set_ylabel('ms: p50 (full), p99 (light)')
    axes.set_title(document['question'], fontsize=9)
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(target, metadata={'Date': None})
    plt.close(figure)


if __name__ == '__main__':
    sys.exit(main())
