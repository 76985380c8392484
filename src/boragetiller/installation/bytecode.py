"""
Compile source files to bytecode that is bound to their content.

Bytecode that is bound to time and size of its source file is used for another source file too if
these are equal, which happens when folders are copied with their times.
"""

from __future__ import annotations

import marshal
import py_compile
from importlib.util import MAGIC_NUMBER, cache_from_source, source_hash
from pathlib import Path

CHECKED_HASH_FLAGS = (0b11).to_bytes(4, "little")  # PEP 552: the import system compares the hash
HEADER_BYTES = 16


def compile_folder(folder: Path) -> None:
    """
    Compile all Python files below a folder for the running interpreter.

    :param folder: the folder
    :raises py_compile.PyCompileError: a file is not valid Python
    """
    for path in sorted(folder.rglob("*.py")):
        if not _is_compiled(path):
            py_compile.compile(
                str(path),
                doraise=True,
                invalidation_mode=py_compile.PycInvalidationMode.CHECKED_HASH,
            )


def _is_compiled(path: Path) -> bool:
    """:return: whether the bytecode of a source file is complete and made from its content"""
    try:
        data = Path(cache_from_source(str(path))).read_bytes()
        marshal.loads(data[HEADER_BYTES:])
    except (OSError, EOFError, ValueError, TypeError):
        return False
    header = MAGIC_NUMBER + CHECKED_HASH_FLAGS + source_hash(path.read_bytes())
    return data.startswith(header)


__all__ = ["compile_folder"]
