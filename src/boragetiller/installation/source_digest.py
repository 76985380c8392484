"""Digest of the source files, which tells whether two processes run the same code."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

PATTERNS = ("*.py", "*.capnp")
DIGEST_CHARS = 16


def compute_source_digest(folders: list[Path]) -> str:
    """
    Compute the digest of the source files in some folders.

    :param folders: folders of source files, in any order
    :return: start of the SHA-256 over names and contents, the same wherever the folders are
    """
    digest = hashlib.sha256()
    for folder in sorted(folders, key=lambda path: path.name):
        for path in sorted(file for pattern in PATTERNS for file in folder.rglob(pattern)):
            content = hashlib.sha256(path.read_bytes()).hexdigest()
            name = path.relative_to(folder.parent).as_posix()
            digest.update(f"{content}  {name}\n".encode())
    return digest.hexdigest()[:DIGEST_CHARS]


__all__ = ["compute_source_digest"]
