"""
Installed distributions in a folder, and whether their files are complete.

The format is that of the Python packaging specifications: a folder NAME-VERSION.dist-info for each
distribution, with a file RECORD that lists path and SHA-256 of each of its files.
"""

from __future__ import annotations

import base64
import csv
import hashlib
from collections import defaultdict
from typing import TYPE_CHECKING

from boragetiller.installation.requirements import normalize_name

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

METADATA_SUFFIX = ".dist-info"
SCRIPTS_FOLDER = "bin"  # RECORD names scripts by their path before pip moved them
HASH_PREFIX = "sha256="


def list_distributions(folder: Path) -> dict[str, str]:
    """
    List the distributions that are installed in a folder.

    :param folder: folder of modules and packages
    :return: version by normalized name; several versions of one distribution divided by spaces
    """
    versions = defaultdict(list)
    for metadata in sorted(folder.glob(f"*{METADATA_SUFFIX}")):
        name, _, version = metadata.name.removesuffix(METADATA_SUFFIX).partition("-")
        versions[normalize_name(name)].append(version)
    return {name: " ".join(found) for name, found in versions.items()}


def find_damaged_file(folder: Path) -> str | None:
    """
    Compare the files of a folder with the records of its distributions.

    :param folder: folder of modules and packages
    :return: the first file that is missing, changed or unlisted, and why; None if all match
    """
    listed: dict[str, str] = {}
    for metadata in sorted(folder.glob(f"*{METADATA_SUFFIX}")):
        try:
            listed |= _read_record(metadata / "RECORD")
        except (OSError, ValueError, csv.Error) as error:
            return f"{metadata.name}: the list of files cannot be read: {error}"
    for name, digest in listed.items():
        path = folder / name
        if not path.is_file():
            return f"{name}: missing"
        if digest and _hash_file(path) != digest:
            return f"{name}: changed after its installation"
    unlisted = sorted(name for name in _list_files(folder) if name not in listed)
    return f"{unlisted[0]}: belongs to no installed distribution" if unlisted else None


def _read_record(record: Path) -> dict[str, str]:
    """:return: SHA-256 by path, empty for files that are listed without one"""
    files = {}
    with record.open(encoding="utf-8", newline="") as rows:
        for name, digest, _ in csv.reader(rows):
            if not name.startswith("..") and not _is_ignored(name):
                files[name] = digest.removeprefix(HASH_PREFIX)
    return files


def _list_files(folder: Path) -> Iterator[str]:
    for path in folder.rglob("*"):
        name = path.relative_to(folder).as_posix()
        if path.is_file() and not _is_ignored(name):
            yield name


def _is_ignored(name: str) -> bool:
    """:return: whether the file is a script or bytecode, which is checked when it is compiled"""
    parts = name.split("/")
    return parts[0] == SCRIPTS_FOLDER or "__pycache__" in parts


def _hash_file(path: Path) -> str:
    digest = hashlib.sha256(path.read_bytes()).digest()
    return base64.urlsafe_b64encode(digest).rstrip(b"=").decode()


__all__ = ["find_damaged_file", "list_distributions"]
