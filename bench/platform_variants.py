"""
Run days of a site with variants of placement: the product, baselines, and mechanisms removed.

    python -m bench.platform_variants FLEETBENCH SITE FOLDER --days scale-1,trouble-1 --jobs 3

Each variant is a copy of the checkout below FOLDER (outside /tmp) with one module changed. All runs
are trials: without a charge for processor time, and one run per day of the site.
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
PLACEMENT = Path("src/boragetiller/systems/server_placement.py")
COST_MODEL = Path("src/boragetiller/tables/server_placement.py")
COPIED_FOLDERS = ("src", "platform", "deploy", "target")
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
    """Replacement of a pattern in the source of one module."""

    name: str
    module: Path
    pattern: re.Pattern[str]
    replacement: str


def _set_to_zero(name: str, parameter: str) -> Variant:
    return Variant(
        f"without {name}",
        COST_MODEL,
        re.compile(rf"{parameter}: float = [\d.]+"),
        f"{parameter}: float = 0.0",
    )


VARIANTS = (
    Variant("product", PLACEMENT, re.compile(r"(?!)"), ""),
    Variant("round robin", PLACEMENT, CHOICE_PATTERN, _ROUND_ROBIN),
    Variant("least outstanding with affinity", PLACEMENT, CHOICE_PATTERN, _LEAST_OUTSTANDING),
    _set_to_zero("stalls", "stall_weight"),
    _set_to_zero("work", "prefill_weight"),
    _set_to_zero("quiet engines", "reserved_share"),
    _set_to_zero("owners", "owner_cache_share"),
    Variant(
        "without peers",
        PLACEMENT,
        re.compile(r"PEER_LOAD_FADE_MS = [\d_]+"),
        "PEER_LOAD_FADE_MS = -1",
    ),
)


def main(fleetbench: str, site: str, folder: str, days: str = "scale-1", jobs: int = 2) -> None:
    """
    Run each variant on each day and print a row per run.

    :param fleetbench: path of the fleetbench program
    :param site: path of the site file
    :param folder: folder for the copies, outside /tmp
    :param days: names of days, separated by commas
    :param jobs: concurrent runs
    """
    names = days if isinstance(days, tuple) else days.split(",")
    runs = [(variant, day) for variant in VARIANTS for day in names]

    def run_one(item: tuple[Variant, str]) -> str:
        return _run_day(item[0], item[1], Path(fleetbench), Path(site), Path(folder))

    with ThreadPoolExecutor(jobs) as pool:
        for row in pool.map(run_one, runs):
            print(row, flush=True)


def _run_day(variant: Variant, day: str, fleetbench: Path, site: Path, folder: Path) -> str:
    copy = folder / f"{variant.name.replace(' ', '-')}-{day}"
    shutil.rmtree(copy, ignore_errors=True)
    for name in COPIED_FOLDERS:
        shutil.copytree(ROOT / name, copy / name)
    module = copy / variant.module
    source, changes = variant.pattern.subn(variant.replacement, module.read_text(encoding="utf-8"))
    if variant.replacement and changes != 1:
        raise ValueError(
            f"variant {variant.name}: pattern matches {changes} times in {variant.module}, not once"
        )
    module.write_text(source, encoding="utf-8")
    servers_module = copy / "src/boragetiller/tables/servers.py"  # gets the counter of round robin
    text = servers_module.read_text(encoding="utf-8")
    anchor = "    joined_ms: int = 0\n"
    servers_module.write_text(
        text.replace(anchor, anchor + "    placed: int = 0\n"), encoding="utf-8"
    )
    subprocess.run(["git", "init", "-q"], cwd=copy, check=True)
    command = [fleetbench.resolve(), "run", site.resolve(), day, "--no-cpu", "--why", "trial"]
    completed = subprocess.run(command, cwd=copy, capture_output=True, text=True, check=False)
    rows = [line for line in completed.stdout.splitlines() if line.startswith(f"{day} ")]
    return f"{variant.name:34}{rows[0] if rows else 'no result'}"


if __name__ == "__main__":
    fire.Fire(main)
