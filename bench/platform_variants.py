"""
Play days of a site with other placement, beside the product: baselines, and mechanisms taken out.

    python -m bench.platform_variants FLEETBENCH SITE FOLDER --days scale-1,trouble-1 --jobs 3

Each variant is a copy of the checkout below FOLDER (outside /tmp) with one module changed. All are
trials: without charge for processor time, one run a day.
"""

from __future__ import annotations

import re
import shutil
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs
import fire

ROOT = Path(__file__).resolve().parent.parent
SERVER_PLACEMENT = Path("src/boragetiller/systems/server_placement.py")
COST_MODEL = Path("src/boragetiller/tables/server_placement.py")
COPIED = ("src", "platform", "deploy", "target")
CHOICE_PATTERN = re.compile(
    r"    reserved_count = count_reserved_servers.*?    return min\(placements.*?\n", re.DOTALL
)

_ROUND_ROBIN = """
    turn = sum(server.placed for server in group.servers)
    server = usable[turn % len(usable)]
    server.placed += 1
    return estimate_placement(server, request, costs, now_ms, ServerAssignment())
"""
_LEAST_OUTSTANDING = """
    owner = find_prefix_owner(group, request.prompt, lambda server: server in usable)
    least = min(server.in_flight for server in usable)
    if owner is None or owner.in_flight > least + 4:
        owner = min(usable, key=lambda server: server.in_flight)
    return estimate_placement(owner, request, costs, now_ms, ServerAssignment())
"""


@attrs.frozen
class Variant:
    """A change of one module."""

    name: str
    module: Path
    pattern: re.Pattern[str]
    text: str


def _without(name: str, cost: str) -> Variant:
    return Variant(
        f"without {name}",
        COST_MODEL,
        re.compile(rf"{cost}: float = [\d.]+"),
        f"{cost}: float = 0.0",
    )


VARIANTS = (
    Variant("product", SERVER_PLACEMENT, re.compile(r"(?!)"), ""),
    Variant("round robin", SERVER_PLACEMENT, CHOICE_PATTERN, _ROUND_ROBIN),
    Variant(
        "least outstanding with affinity", SERVER_PLACEMENT, CHOICE_PATTERN, _LEAST_OUTSTANDING
    ),
    _without("stalls", "stall_weight"),
    _without("work", "prefill_weight"),
    _without("quiet engines", "reserved_share"),
    _without("owners", "owner_cache_share"),
    Variant(
        "without peers",
        SERVER_PLACEMENT,
        re.compile(r"PEER_LOAD_FADE_MS = [\d_]+"),
        "PEER_LOAD_FADE_MS = -1",
    ),
)


def main(fleetbench: str, site: str, folder: str, days: str = "scale-1", jobs: int = 2) -> None:
    """
    Play each variant on each day and print a row for each.

    :param fleetbench: the users' bench
    :param site: site file
    :param folder: where the copies go, outside /tmp
    :param days: names of days, divided by commas
    :param jobs: days played at once
    """
    names = days if isinstance(days, tuple) else days.split(",")
    runs = [(variant, day) for variant in VARIANTS for day in names]

    def run_variant(each: tuple[Variant, str]) -> str:
        return _run_variant(each[0], each[1], Path(fleetbench), Path(site), Path(folder))

    with ThreadPoolExecutor(jobs) as pool:
        for row in pool.map(run_variant, runs):
            print(row, flush=True)


def _run_variant(variant: Variant, day: str, fleetbench: Path, site: Path, folder: Path) -> str:
    copy = folder / f"{variant.name.replace(' ', '-')}-{day}"
    shutil.rmtree(copy, ignore_errors=True)
    for name in COPIED:
        shutil.copytree(ROOT / name, copy / name)
    module = copy / variant.module
    source, changes = variant.pattern.subn(variant.text, module.read_text(encoding="utf-8"))
    if variant.text and changes != 1:
        raise ValueError(f"{variant.name}: {variant.module} has changed")
    module.write_text(source, encoding="utf-8")
    table = copy / "src/boragetiller/tables/servers.py"  # round robin counts its turns there
    text = table.read_text(encoding="utf-8")
    field = "    joined_ms: int = 0\n"
    table.write_text(text.replace(field, field + "    placed: int = 0\n"), encoding="utf-8")
    subprocess.run(["git", "init", "-q"], cwd=copy, check=True)
    command = [fleetbench.resolve(), "run", site.resolve(), day, "--no-cpu", "--why", "trial"]
    result = subprocess.run(command, cwd=copy, capture_output=True, text=True, check=False)
    rows = [line for line in result.stdout.splitlines() if line.startswith(f"{day} ")]
    return f"{variant.name:34}{rows[0] if rows else 'no result'}"


if __name__ == "__main__":
    fire.Fire(main)
