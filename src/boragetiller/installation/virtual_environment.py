"""
Create a virtual environment, unless a complete one is there.

A virtual environment can be used only with the interpreter that it was made with, and only in the
place where it was made.
"""

from __future__ import annotations

import json
import shutil
import subprocess
import sys
from pathlib import Path

from boragetiller.installation.extension_tags import get_interpreter_tag

STAMP_NAME = "created-for.json"  # written last, so that an interrupted creation has none


def main() -> int:
    """
    Create the environment that the command line names: its folder, then pip's arguments.

    :return: exit code of the process
    """
    folder, *arguments = sys.argv[1:]
    try:
        create_environment(Path(folder).resolve(), arguments)
    except subprocess.CalledProcessError as error:
        print(f"{folder}: cannot be created: {error}", file=sys.stderr)
        return 1
    return 0


def create_environment(folder: Path, arguments: list[str]) -> bool:
    """
    Make a folder hold a complete virtual environment for the running interpreter.

    :param folder: absolute path of the folder
    :param arguments: arguments of `pip install`, such as requirements
    :return: whether it was created anew
    :raises subprocess.CalledProcessError: venv or pip failed
    """
    stamp, content = folder / STAMP_NAME, _describe(folder, arguments)
    if stamp.is_file() and stamp.read_text(encoding="utf-8") == content:
        return False
    shutil.rmtree(folder, ignore_errors=True)
    subprocess.run([sys.executable, "-m", "venv", str(folder)], check=True)
    pip = [str(folder / "bin" / "python"), "-m", "pip", "install", "--quiet"]
    subprocess.run([*pip, *arguments], check=True)
    stamp.write_text(content, encoding="utf-8")
    return True


def _describe(folder: Path, arguments: list[str]) -> str:
    project = Path("pyproject.toml")
    return json.dumps(
        {
            "folder": str(folder),
            "python": sys.version,
            "prefix": sys.base_prefix,
            "machine": get_interpreter_tag(),
            "arguments": arguments,
            # The demo installs the dependencies of the project.
            "project": project.read_text(encoding="utf-8") if project.is_file() else None,
        }
    )


__all__ = ["create_environment"]

if __name__ == "__main__":
    sys.exit(main())
