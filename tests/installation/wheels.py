"""Small wheels in a folder that stands in for the package index."""

from __future__ import annotations

import base64
import hashlib
import zipfile
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


def write_wheel(folder: Path, version: str, files: dict[str, str], name: str = "sample") -> Path:
    """
    Write a wheel.

    :param folder: existing folder for the wheel
    :param version: version of the distribution
    :param files: contents by path
    :param name: name of the distribution
    :return: path of the wheel
    """
    metadata = f"{name}-{version}.dist-info"
    files = files | {
        f"{metadata}/METADATA": f"Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n",
        f"{metadata}/WHEEL": "Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n",
    }
    rows = [f"{path},{_hash(text)},{len(text)}" for path, text in files.items()]
    files[f"{metadata}/RECORD"] = "\n".join([*rows, f"{metadata}/RECORD,,"]) + "\n"
    wheel = folder / f"{name}-{version}-py3-none-any.whl"
    with zipfile.ZipFile(wheel, "w") as archive:
        for path, text in files.items():
            archive.writestr(path, text)
    return wheel


def unpack_wheel(wheel: Path, folder: Path) -> None:
    """
    Unpack a wheel, as its installation with another interpreter does.

    :param wheel: path of the wheel
    :param folder: folder to fill
    """
    with zipfile.ZipFile(wheel) as archive:
        archive.extractall(folder)


def _hash(text: str) -> str:
    digest = hashlib.sha256(text.encode()).digest()
    return "sha256=" + base64.urlsafe_b64encode(digest).rstrip(b"=").decode()


__all__ = ["unpack_wheel", "write_wheel"]
