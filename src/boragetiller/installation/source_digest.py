"""Digest of the source files, which tells whether two processes run the same code."""

from __future__ import annotations

import hashlib
import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

SUFFIXES = (".py", ".capnp")
DIGEST_CHARS = 16


def compute_source_digest(folders: list[Path]) -> str:
    """
    Compute the digest of the source files in some folders.

    :param folders: folders of source files, in any order
    :return: start of the SHA-256 over names and contents, the same wherever the folders are
    """
    digest = hashlib.sha256()
    for folder in sorted(folders, key=lambda path: path.name):
        for name in sorted(_list_sources(folder)):
            content = hashlib.sha256((folder / name).read_bytes()).hexdigest()
            digest.update(f"{content}  {folder.name}/{name}\n".encode())
    return digest.hexdigest()[:DIGEST_CHARS]


def _list_sources(folder: Path) -> Iterator[str]:
    """:return: paths below the folder"""
    prefix = len(str(folder)) + 1
    for parent, _, names in os.walk(folder):
        for name in names:
            if name.endswith(SUFFIXES):
                yield f"{parent}/{name}"[prefix:]


__all__ = ["compute_source_digest"]
