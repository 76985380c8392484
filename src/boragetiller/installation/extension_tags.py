"""Tags in the file names of extension modules: the interpreter and machine they are for."""

from __future__ import annotations

import re
from importlib.machinery import EXTENSION_SUFFIXES
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

# Such as _http_parser.cpython-311-aarch64-linux-gnu.so; shared libraries have no tag.
_TAGGED_FILE = re.compile(r"\.((?:cpython|pypy|graalpy)[\w-]*)\.so$")


def get_interpreter_tag() -> str:
    """
    Name the running interpreter and its machine.

    :return: tag of extension modules built for it, such as cpython-311-aarch64-linux-gnu
    """
    return EXTENSION_SUFFIXES[0].strip(".").removesuffix(".so")


def list_extension_tags(folder: Path) -> list[str]:
    """
    List for which interpreters and machines a folder has extension modules.

    :param folder: folder of modules and packages
    :return: sorted tags; empty if it has no tagged extension modules
    """
    matches = (_TAGGED_FILE.search(path.name) for path in folder.rglob("*.so"))
    return sorted({match[1] for match in matches if match})


__all__ = ["get_interpreter_tag", "list_extension_tags"]
