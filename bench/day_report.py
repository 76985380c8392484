"""
Report the outcomes of calls and the load of engines over one fleetbench day from the router logs.

    fleetbench run SITE DAY --log all > day.txt
    python -m bench.day_report day.txt --png day.png

The table counts the calls per time interval by outcome: answered, refused because no engine had
capacity (`no_room`), failed, or cancelled by the caller (`left`), with the mean number of requests
in flight at an engine. The plot adds a heat map of the prompt tokens sent to each engine: one row
per engine, one column per interval, dark for many tokens.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import fire
import matplotlib as mpl

if TYPE_CHECKING:
    from collections.abc import Iterator

    from matplotlib.axes import Axes

mpl.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

INTERVAL_S = 2
OUTCOMES = ("answered", "no_room", "failed", "left")
COLORS = {"answered": "#4c956c", "no_room": "#f2cc8f", "failed": "#bc4b51", "left": "#7b7b8c"}


@attrs.frozen
class LogLine:
    """Log event of a router with its time since the start of the day."""

    time_s: float
    fields: dict[str, Any]

    @property
    def interval(self) -> int:
        """:return: index of the interval in which the event was logged"""
        return int(self.time_s // INTERVAL_S)


@attrs.define
class DayFigures:
    """Counts by interval."""

    outcomes: dict[int, Counter[str]] = attrs.field(factory=lambda: defaultdict(Counter))
    prompt_tokens: dict[str, Counter[int]] = attrs.field(factory=lambda: defaultdict(Counter))
    in_flight: dict[int, list[int]] = attrs.field(factory=lambda: defaultdict(list))

    def add(self, line: LogLine) -> None:
        """:param line: event of any router; those before the start of the day are ignored"""
        if line.time_s < 0:
            return
        fields = line.fields
        match fields.get("event_name"):
            case "call_placed":
                self.prompt_tokens[fields["server"]][line.interval] += fields["new_tokens"]
                self.in_flight[line.interval].append(fields["in_flight"])
            case "call_answered":
                self.outcomes[line.interval]["answered"] += 1
            case "call_failed":
                is_refused = fields["reason"] == "no_room" and fields["verdict"] == "not_run"
                self.outcomes[line.interval]["no_room" if is_refused else "failed"] += 1
            case "caller_left":
                self.outcomes[line.interval]["left"] += 1


def read_lines(path: Path) -> Iterator[LogLine]:
    """
    Parse the output of `fleetbench run --log`.

    :param path: file with the output
    :return: log events of the routers
    """
    with path.open(encoding="utf-8") as file:
        for line in file:
            prefix, brace, rest = line.partition("{")
            try:
                yield LogLine(float(prefix.split()[0]), json.loads(brace + rest))
            except (ValueError, IndexError):
                continue  # output of fleetbench itself, or a truncated line


def main(log: str, png: str = "") -> None:
    """
    Print the table and write the plot.

    :param log: file with the output of `fleetbench run --log`
    :param png: image file for the plot, empty for no plot
    """
    figures = DayFigures()
    for line in read_lines(Path(log)):
        figures.add(line)
    print("from s " + "".join(f"{outcome:>10}" for outcome in OUTCOMES) + f"{'in flight':>12}")
    for interval in sorted(figures.outcomes):
        counts = figures.outcomes[interval]
        in_flight_counts = figures.in_flight[interval]
        mean = sum(in_flight_counts) / len(in_flight_counts) if in_flight_counts else 0.0
        row = "".join(f"{counts[outcome]:>10}" for outcome in OUTCOMES)
        print(f"{interval * INTERVAL_S:>6} {row}{mean:>12.1f}")
    if png:
        _draw(figures, Path(png))


def _draw(figures: DayFigures, path: Path) -> None:
    figure, (top_axes, bottom_axes) = plt.subplots(2, 1, figsize=(10, 8), height_ratios=(1, 2))
    _draw_outcomes(top_axes, figures)
    engines = [name for name, intervals in figures.prompt_tokens.items() if sum(intervals.values())]
    intervals = range(max(figures.outcomes, default=0) + 1)
    rows = [
        [figures.prompt_tokens[name][interval] / INTERVAL_S for interval in intervals]
        for name in engines
    ]
    rows.sort(key=sum, reverse=True)
    image = bottom_axes.imshow(rows, aspect="auto", cmap="magma_r", interpolation="nearest")
    bottom_axes.set(
        xlabel=f"intervals of {INTERVAL_S} s",
        ylabel="engines",
        title="prompt tokens sent per second",
    )
    figure.colorbar(image, ax=bottom_axes)
    figure.tight_layout()
    figure.savefig(path)


def _draw_outcomes(axes: Axes, figures: DayFigures) -> None:
    intervals = sorted(figures.outcomes)
    bottom = [0] * len(intervals)
    for outcome in OUTCOMES:
        heights = [figures.outcomes[interval][outcome] for interval in intervals]
        axes.bar(intervals, heights, bottom=bottom, color=COLORS[outcome], label=outcome)
        bottom = [low + height for low, height in zip(bottom, heights, strict=True)]
    axes.set(title="outcomes of calls", ylabel="calls")
    axes.legend(ncols=len(OUTCOMES))


if __name__ == "__main__":
    fire.Fire(main)
