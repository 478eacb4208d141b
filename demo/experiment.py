"""Runs an experiment once per load balancing policy.

``python -m demo.experiment experiments/surge.toml`` starts the processes,
generates the load that the file describes, triggers its events, prints a table
and writes all results as JSON below ``experiments/results``.
"""

from __future__ import annotations

import argparse
import json
import sys
import tomllib
from pathlib import Path
from threading import Timer
from time import monotonic
from typing import TYPE_CHECKING, Annotated, Any

import msgspec

from bluebellsill.balancing_policy import BalancingPolicyName
from bluebellsill.load.generator import CallStream
from demo.harness import Deployment, deployment, finish_load, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterable

_RESULTS = Path('experiments/results')
_SERVICE = 'catalogue'
_REPORT_TIMEOUT = 60.0  # seconds to wait after the end of the load
_QUIET_SECONDS = 0.5  # without new requests, after which a zone is idle


class Event(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An event during the load.

    Attributes:
        at: Seconds into the load.
        action: What happens: ``target``, ``zone_out`` or ``zone_back``.
        index: The index of the target that it applies to.
        change: The new behaviour of the target.
    """

    at: float
    action: str
    index: int = 0
    change: dict[str, Any] = msgspec.field(default_factory=dict)


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One experiment.

    Attributes:
        name: The name of the result file.
        question: What the experiment shows.
        seconds: The duration of the load.
        targets: The number of targets, spread over three zones.
        warm_up: Calls a second during ten seconds before the load.
        behaviour: The initial behaviour of the targets.
        service: The service specification that operators declare.
        streams: The calls, in the format of a load plan.
        events: The events during the load.
        choices: The load balancing policies to compare.
        seed: Seeds the arrival times.
    """

    name: str
    question: str
    seconds: Annotated[float, msgspec.Meta(gt=0)]
    targets: Annotated[int, msgspec.Meta(ge=1)]
    streams: list[CallStream]
    warm_up: float = 0
    behaviour: dict[str, Any] = msgspec.field(default_factory=dict)
    service: dict[str, Any] = msgspec.field(default_factory=dict)
    events: list[Event] = msgspec.field(default_factory=list)
    choices: list[BalancingPolicyName] = msgspec.field(
        default_factory=lambda: list(BalancingPolicyName),
    )
    seed: int = 1


def main() -> int:
    """Run the experiments that the command line names."""
    parser = argparse.ArgumentParser(prog='demo.experiment')
    parser.add_argument('files', nargs='+', type=Path)
    parser.add_argument(
        '--choices', help='policies to compare, comma-separated'
    )
    options = parser.parse_args()
    for file in options.files:
        document = tomllib.loads(file.read_text(encoding='utf-8'))
        if options.choices:
            document['choices'] = options.choices.split(',')
        _run_all(msgspec.convert(document, Experiment))
    return 0


def _run_all(experiment: Experiment) -> None:
    results = {
        choice.value: _run(experiment, choice) for choice in experiment.choices
    }
    _RESULTS.mkdir(parents=True, exist_ok=True)
    path = _RESULTS / f'{experiment.name}.json'
    document = {'question': experiment.question, 'results': results}
    path.write_text(f'{json.dumps(document, indent=1)}\n', encoding='utf-8')
    _print(experiment, results)


def _run(experiment: Experiment, choice: BalancingPolicyName) -> dict[str, Any]:
    with deployment() as running:
        running.choice = choice.value
        _start(running, experiment)
        if experiment.warm_up:
            warm_up = CallStream(
                'warm-up', f'/{_SERVICE}/x', experiment.warm_up
            )
            _load(running, 10, [warm_up], experiment.seed)
        measured: dict[str, Any] = {}
        timers = [
            Timer(event.at, _trigger, (running, event, measured))
            for event in experiment.events
        ]
        before = [
            _counts(running, index) for index in range(experiment.targets)
        ]
        report = _load(
            running,
            experiment.seconds,
            experiment.streams,
            experiment.seed,
            timers,
        )
        for timer in timers:
            timer.join()
        after = [_counts(running, index) for index in range(experiment.targets)]
    report['events'] = measured
    report['targets'] = [
        {name: late.get(name, 0) - early.get(name, 0) for name in late}
        for early, late in zip(before, after, strict=True)
    ]
    return report


def _start(running: Deployment, experiment: Experiment) -> None:
    places = [('abc'[one % 3], _SERVICE) for one in range(experiment.targets)]
    running.start_pairs(places, experiment.behaviour)
    spec = {'expected_targets': experiment.targets, **experiment.service}
    running.declare({_SERVICE: spec})


def _counts(running: Deployment, index: int) -> dict[str, int]:
    counts: dict[str, int] = running.pairs[index].target_stats()['counts']
    return counts


def _load(
    running: Deployment,
    seconds: float,
    streams: Iterable[CallStream],
    seed: int,
    timers: Iterable[Timer] = (),
) -> dict[str, Any]:
    load = running.start_load(
        seconds,
        [msgspec.to_builtins(stream) for stream in streams],
        seed,
    )
    for timer in timers:
        timer.start()
    return finish_load(load, seconds + _REPORT_TIMEOUT)


def _trigger(
    running: Deployment,
    event: Event,
    measured: dict[str, Any],
) -> None:
    if event.action == 'target':
        running.pairs[event.index].change_target(**event.change)
        return
    zone = running.pairs[event.index].zone
    is_out = event.action == 'zone_out'
    client = running.pairs[0].client()
    accepted_at = monotonic()
    change = client.put('availability-zones', zone, {'in_service': not is_out})
    client.wait(change['revision'], 10)
    measured[f'{event.action}_in_force_s'] = round(monotonic() - accepted_at, 3)
    if is_out:
        pairs = running.of_zone(zone)
        wait_until(lambda: _idle(running, zone) > _QUIET_SECONDS, 10)
        idle = min(pair.target_stats()['idle_seconds'] for pair in pairs)
        seconds = max(0, monotonic() - idle - accepted_at)
        measured['zone_empty_s'] = round(seconds, 3)


def _idle(running: Deployment, zone: str) -> float:
    pairs = running.of_zone(zone)
    return min(float(pair.target_stats()['idle_seconds']) for pair in pairs)


def _print(experiment: Experiment, results: dict[str, Any]) -> None:
    sys.stdout.write(f'\n{experiment.name}: {experiment.question}\n')
    row = '{:<16}{:<14}{:>7}{:>9}{:>7}{:>9}{:>9}{:>10}\n'
    head = (
        'choice',
        'stream',
        'calls',
        'answered',
        'lost',
        'p50',
        'p99',
        'p99.9',
    )
    sys.stdout.write(row.format(*head))
    for choice, report in results.items():
        for name, stream in report['streams'].items():
            counts, latency = stream['counts'], stream['latency']
            answered = counts.get('answered', 0)
            shown = [
                f'{latency[key]:.1f}' for key in ('p50_ms', 'p99_ms', 'p999_ms')
            ]
            calls = counts.get('calls', 0)
            line = (choice, name, calls, answered, calls - answered, *shown)
            sys.stdout.write(row.format(*line))
        if report['events']:
            sys.stdout.write(f'{choice:<16}{report["events"]}\n')


if __name__ == '__main__':
    sys.exit(main())
