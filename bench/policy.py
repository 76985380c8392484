"""Measure the policy against others: `python -m bench.policy`."""

from __future__ import annotations

import argparse
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from statistics import mean, stdev

from bench.policy_baselines import POLICIES
from bench.policy_metrics import compute_metrics
from bench.policy_scenarios import SCENARIOS
from bench.policy_simulation import PolicySimulation

WORKER_PROCESSES = 3
METRIC_BY_COLUMN = {
    "prot ok": "protected.attained",
    "ttft ok": "protected.first_token_attained",
    "gap ok": "protected.gap_attained",
    "ttft p50": "protected.first_token_ms.p50",
    "p95": "protected.first_token_ms.p95",
    "p99": "protected.first_token_ms.p99",
    "gap p95": "protected.gap_ms.p95",
    "quote": "quote.attained",
    "phone": "phone.attained",
    "summary": "summary.attained",
    "grant": "grant.attained",
    "note": "note.attained",
    "goodput": "goodput",
    "wasted": "wasted",
    "fair": "fairness",
    "note wait": "note.longest_wait_ms",
    "unserved": "note.longest_unserved_ms",
    "preempt": "preemptions",
    "failed": "failed",
}


def main() -> int:
    """
    Run the scenarios and print the figures.

    :return: process exit code
    """
    options = _parse_options()
    names = [options.scenario] if options.scenario else [s.name for s in SCENARIOS]
    policies = options.policy.split(",") if options.policy else list(POLICIES)
    jobs = [(n, p, seed) for n in names for p in policies for seed in range(1, options.seeds + 1)]
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        results = list(pool.map(run_one, jobs))
    table = _summarize(jobs, results)
    print(json.dumps(table, indent=1) if options.json else _format(table))
    if options.plot:
        from bench.policy_plot import draw  # noqa: PLC0415

        draw(table, options.plot)
    return 0


def run_one(job: tuple[str, str, int]) -> dict[str, float]:
    """
    Run one scenario under one policy.

    :param job: scenario, policy and seed
    :return: figures by name
    """
    name, policy, seed = job
    simulation = PolicySimulation(next(s for s in SCENARIOS if s.name == name), policy, seed)
    simulation.run()
    return compute_metrics(simulation)


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--scenario", default="")
    parser.add_argument("--policy", default="", help="comma-separated")
    parser.add_argument("--plot", default="")
    return parser.parse_args()


def _summarize(
    jobs: list[tuple[str, str, int]], results: list[dict[str, float]]
) -> dict[str, dict[str, dict[str, dict[str, float]]]]:
    table: dict[str, dict[str, dict[str, dict[str, float]]]] = {}
    for scenario, policy in dict.fromkeys((job[0], job[1]) for job in jobs):
        runs = [r for j, r in zip(jobs, results, strict=True) if j[:2] == (scenario, policy)]
        table.setdefault(scenario, {})[policy] = {
            name: {
                "mean": mean(run[name] for run in runs),
                "sd": stdev(run[name] for run in runs) if len(runs) > 1 else 0.0,
                "min": min(run[name] for run in runs),
                "max": max(run[name] for run in runs),
            }
            for name in runs[0]
        }
    return table


def _format(table: dict[str, dict[str, dict[str, dict[str, float]]]]) -> str:
    lines = ["mean over the seeds, standard deviation below it"]
    for scenario, policies in table.items():
        lines.append("")
        lines.append(f"{scenario:<12}" + "".join(f"{title:>10}" for title in METRIC_BY_COLUMN))
        for policy, figures in policies.items():
            for kind, label in (("mean", policy), ("sd", "")):
                cells = [_format_cell(figures[name][kind]) for name in METRIC_BY_COLUMN.values()]
                lines.append(f"{label:<12}" + "".join(f"{cell:>10}" for cell in cells))
    return "\n".join(lines)


def _format_cell(value: float) -> str:
    return f"{value:.0f}" if value >= 20 else f"{value:.3f}"


if __name__ == "__main__":
    sys.exit(main())
