"""Regenerates the golden files: `python -m tests.golden.refresh`; review them with `git diff`."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.golden.sessions import SESSIONS

FOLDER = Path(__file__).resolve().parent


def main() -> None:
    """Run each session and write its transcript to its file."""
    for name, session in SESSIONS.items():
        path = FOLDER / f"{name}.txt"
        path.write_text(asyncio.run(session()), encoding="utf-8")
        print(path.name)


if __name__ == "__main__":
    main()
