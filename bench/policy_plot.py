"""Plots metrics of the policy simulation."""

from __future__ import annotations

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

FIGURES = {
    "protected.attained": "protected calls within target",
    "goodput": "goodput, share of what could be made",
    "wasted": "wasted work, share",
}


def draw(table: dict[str, dict[str, dict[str, dict[str, float]]]], path: str) -> None:
    """
    Draw bars by scenario and policy, with the standard deviation over the seeds.

    :param table: metrics by scenario, policy and name
    :param path: file to write
    """
    figure, axes = plt.subplots(len(FIGURES), 1, figsize=(12, 9), sharex=True)
    scenarios = list(table)
    policies = list(next(iter(table.values())))
    width = 0.8 / len(policies)
    for axis, (name, title) in zip(axes, FIGURES.items(), strict=True):
        for number, policy in enumerate(policies):
            places = [place + number * width for place in range(len(scenarios))]
            means = [table[scenario][policy][name]["mean"] for scenario in scenarios]
            spread = [table[scenario][policy][name]["sd"] for scenario in scenarios]
            axis.bar(places, means, width, yerr=spread, label=policy)
        axis.set_title(title)
    axes[0].axhline(0.95, linewidth=0.8, color="black")
    axes[0].legend()
    axes[-1].set_xticks([place + 0.4 - width / 2 for place in range(len(scenarios))], scenarios)
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


__all__ = ["draw"]
