"""Demo: runs a deployment under load while a zone leaves and returns."""

from __future__ import annotations

import argparse
import json
import sys
import tomllib
from pathlib import Path
from time import monotonic
from typing import Any

from demo.harness import Deployment, Pair, deployment, finish_load, wait_until

_WARM_UP = 7.0  # seconds of load before the measurement starts
_SECONDS = 31.0  # of load
_OUT_AT = 17.0  # seconds into the load: a zone leaves service
_BACK_AT = 24.0  # seconds into the load: the zone returns
_RATE = 40.0  # calls a second of each service
_BASELINE_RATE = 10.0  # calls a second
_BASELINE_PATH = '/{service}/ping?ms=2'
_QUIET_SECONDS = 0.5  # without new requests, after which a zone is idle
_REPORT_TIMEOUT = 60.0  # seconds to wait for the load report


def main() -> int:
    """Run the demo and print its report."""
    parser = argparse.ArgumentParser(prog='demo')
    parser.add_argument('--deployment', type=Path, required=True)
    options = parser.parse_args()
    plan = tomllib.loads(options.deployment.read_text(encoding='utf-8'))
    with deployment() as running:
        report = _run(running, plan)
    _print(plan['name'], report)
    return 0 if not report['wrong'] and not report['exit_codes'] else 1


def _run(running: Deployment, plan: dict[str, Any]) -> dict[str, Any]:
    zones = plan['availability_zones']
    running.start_pairs(_places(plan))
    running.declare({one['name']: one['spec'] for one in plan['services']})
    client = running.pairs[0].client()
    for zone in zones:
        client.put('availability-zones', zone, {'in_service': True})
    load = running.start_load(_SECONDS, _all_streams(running, plan))
    started_at = monotonic()
    zone = zones[-1]
    _sleep_until(started_at + _OUT_AT)
    out_seconds = _take_out_of_service(running, zone)
    _sleep_until(started_at + _BACK_AT)
    change = client.put('availability-zones', zone, {'in_service': True})
    client.wait(change['revision'], 10)
    measured = finish_load(load, _REPORT_TIMEOUT)
    elapsed = monotonic() - started_at
    probes = [
        pair.target_stats()['counts'].get('probes', 0) for pair in running.pairs
    ]
    codes = [code for code in running.stop() if code]
    return _report(measured, out_seconds, max(probes) * 6 / elapsed, codes)


def _places(plan: dict[str, Any]) -> list[tuple[str, str]]:
    """Return a zone and a service for each target, zones round-robin."""
    zones = plan['availability_zones']
    return [
        (zones[index % len(zones)], service['name'])
        for service in plan['services']
        for index in range(service['targets'])
    ]


def _all_streams(
    running: Deployment,
    plan: dict[str, Any],
) -> list[dict[str, Any]]:
    return [
        stream
        for service in plan['services']
        if service['targets']
        for stream in _streams(running, service)
    ]


def _streams(
    running: Deployment,
    service: dict[str, Any],
) -> list[dict[str, Any]]:
    name = service['name']
    is_critical = service['spec'].get('priority') == 'critical'
    # A zone that stays in service, so that baseline calls do not reach the zone
    # whose last new request is measured.
    zone = running.pairs[0].zone
    pairs = [pair for pair in running.of_service(name) if pair.zone == zone]
    targets = [str(pair.target.listening) for pair in pairs if pair.target]
    baseline = {
        'path': _BASELINE_PATH.format(service=name),
        'rate': _BASELINE_RATE,
        'starts_at': _WARM_UP,
    }
    measured = {'rate': _RATE, 'starts_at': _WARM_UP}
    streams: list[dict[str, Any]] = [
        {
            'name': f'{name}-warm-up',
            'path': f'/{name}/list',
            'rate': 2 * _RATE,
            'ends_at': _WARM_UP,
        },
        {'name': name, 'path': f'/{name}/list', **measured},
        {'name': f'{name}-system', **baseline},
        {'name': f'{name}-direct', 'direct': targets, **baseline},
    ]
    if is_critical:
        streams.append(
            {
                'name': f'{name}-post',
                'path': f'/{name}/new',
                'rate': _RATE / 4,
                'starts_at': _WARM_UP,
                'method': 'POST',
                'is_keyed': True,
            }
        )
    else:
        large = 1048576
        streams.append(
            {
                'name': f'{name}-large',
                'path': f'/{name}/photo?size={large}&chunked=1',
                'size': large,
                'rate': 2,
            }
        )
    return streams


def _take_out_of_service(running: Deployment, zone: str) -> float:
    """Take a zone out of service; return seconds to its last new request."""
    pairs = running.of_zone(zone)
    accepted_at = monotonic()
    running.pairs[0].client().put(
        'availability-zones',
        zone,
        {'in_service': False},
    )
    wait_until(lambda: _idle_seconds(pairs) > _QUIET_SECONDS, 10)
    last_request_at = monotonic() - _idle_seconds(pairs)
    return max(0, last_request_at - accepted_at)


def _idle_seconds(pairs: list[Pair]) -> float:
    return min(pair.target_stats()['idle_seconds'] for pair in pairs)


def _report(
    measured: dict[str, Any],
    out_seconds: float,
    probe_ms: float,
    codes: list[int],
) -> dict[str, Any]:
    counts = measured['counts']
    streams = measured['streams']
    system = [one for name, one in streams.items() if name.endswith('-system')]
    direct = [one for name, one in streams.items() if name.endswith('-direct')]
    plain = [
        one['latency']
        for name, one in streams.items()
        if not name.endswith(('-system', '-direct', '-large', '-warm-up'))
    ]
    refused = {
        name.removeprefix('refused_'): count
        for name, count in counts.items()
        if name.startswith('refused_')
    }
    added = {
        f'added_{name}': round(_worst(system, name) - _worst(direct, name), 3)
        for name in ('p50_ms', 'p99_ms')
    }
    return {
        'calls': counts['calls'],
        'answered': counts.get('answered', 0),
        'wrong': counts.get('wrong', 0) + counts.get('no_answer', 0),
        'refused': refused,
        'p50_ms': max(one['p50_ms'] for one in plain),
        'p99_ms': max(one['p99_ms'] for one in plain),
        **added,
        'probe_ms_per_target_s': round(probe_ms, 3),
        'zone_out_seconds': round(out_seconds, 3),
        'exit_codes': codes,
    }


def _worst(streams: list[dict[str, Any]], name: str) -> float:
    return max(float(stream['overhead'][name]) for stream in streams)


def _sleep_until(moment: float) -> None:
    wait_until(lambda: monotonic() >= moment, 60)


def _print(name: str, report: dict[str, Any]) -> None:
    sys.stdout.write(f'\n{name}\n')
    for key, value in report.items():
        sys.stdout.write(f'  {key:<22} {value}\n')
    line = json.dumps(report)
    sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    sys.exit(main())
