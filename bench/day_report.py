"""
What became of the calls of a played day, and what its engines were given, from the routers' logs.

    fleetbench run SITE DAY --log all > day.txt
    python -m bench.day_report day.txt --png day.png

For each span: calls placed, answered, refused for want of room, failed, left by their callers, and
the prompt tokens sent to each engine. In the picture spans go from left to right; a row of the map
is an engine, dark where it was given much to read.
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
    """A line of a router, with the time of the day played."""

    time_s: float
    fields: dict[str, Any]

    @property
    def interval(self) -> int:
        """:return: number of the span in which it was written"""
        return int(self.time_s // INTERVAL_S)


@attrs.define
class DayFigures:
    """Counts by span."""

    outcomes: dict[int, Counter[str]] = attrs.field(factory=lambda: defaultdict(Counter))
    prompt_tokens: dict[str, Counter[int]] = attrs.field(factory=lambda: defaultdict(Counter))
    in_flight: dict[int, list[int]] = attrs.field(factory=lambda: defaultdict(list))

    def record(self, line: LogLine) -> None:
        """:param line: a line of any router"""
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
    Read what `fleetbench run --log` printed.

    :param path: the file
    :return: the lines that routers wrote
    """
    with path.open(encoding="utf-8") as file:
        for line in file:
            head, brace, rest = line.partition("{")
            try:
                yield LogLine(float(head.split()[0]), json.loads(brace + rest))
            except (ValueError, IndexError):
                continue  # a line of the bench itself, or one that was cut


def main(log: str, png: str = "") -> None:
    """
    Print a table and write a picture.

    :param log: file with the output of a day
    :param png: picture to write, none when left out
    """
    figures = DayFigures()
    for line in read_lines(Path(log)):
        figures.record(line)
    print("from s " + "".join(f"{end:>10}" for end in OUTCOMES) + f"{'in flight':>12}")
    for interval in sorted(figures.outcomes):
        counts = figures.outcomes[interval]
        placed = figures.in_flight[interval]
        mean = sum(placed) / len(placed) if placed else 0.0
        row = "".join(f"{counts[end]:>10}" for end in OUTCOMES)
        print(f"{interval * INTERVAL_S:>6} {row}{mean:>12.1f}")
    if png:
        _draw(figures, Path(png))


def _draw(figures: DayFigures, path: Path) -> None:
    figure, (above, below) = plt.subplots(2, 1, figsize=(10, 8), height_ratios=(1, 2))
    _draw_outcomes(above, figures)
    engines = [name for name, intervals in figures.prompt_tokens.items() if sum(intervals.values())]
    intervals = range(max(figures.outcomes, default=0) + 1)
    rows = [
        [figures.prompt_tokens[name][interval] / INTERVAL_S for interval in intervals]
        for name in engines
    ]
    rows.sort(key=sum, reverse=True)
    image = below.imshow(rows, aspect="auto", cmap="magma_r", interpolation="nearest")
    below.set(
        xlabel=f"spans of {INTERVAL_S} s", ylabel="engines", title="prompt tokens sent a second"
    )
    figure.colorbar(image, ax=below)
    figure.tight_layout()
    figure.savefig(path)


def _draw_outcomes(axes: Axes, figures: DayFigures) -> None:
    intervals = sorted(figures.outcomes)
    bottom = [0] * len(intervals)
    for end in OUTCOMES:
        heights = [figures.outcomes[interval][end] for interval in intervals]
        axes.bar(intervals, heights, bottom=bottom, color=COLORS[end], label=end)
        bottom = [low + height for low, height in zip(bottom, heights, strict=True)]
    axes.set(title="how calls ended", ylabel="calls")
    axes.legend(ncols=len(OUTCOMES))


if __name__ == "__main__":
    fire.Fire(main)
