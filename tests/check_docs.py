"""Checks that the links between the documentation pages resolve."""

from __future__ import annotations

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def main() -> int:
    """
    Check every page and print the broken links.

    :return: exit code of the process: 0 if no link is broken
    """
    problems = [problem for page in _list_pages() for problem in _find_broken_links(page)]
    for problem in problems:
        print(problem)
    print(f"{len(_list_pages())} pages, {len(problems)} problems")
    return 1 if problems else 0


def _list_pages() -> list[Path]:
    return [*sorted(ROOT.glob("*.md")), *sorted((ROOT / "docs").rglob("*.md"))]


def _find_broken_links(page: Path) -> list[str]:
    targets = LINK.findall(page.read_text(encoding="utf-8"))
    return [f"{page.name}: {target}" for target in targets if not (page.parent / target).exists()]


if __name__ == "__main__":
    sys.exit(main())
