"""Install the dependencies into a folder, unless it has them already."""

from __future__ import annotations

import fcntl
import os
import shutil
import subprocess
import sys
from contextlib import contextmanager
from typing import TYPE_CHECKING

from boragetiller.installation.bytecode import compile_folder
from boragetiller.installation.extension_tags import get_interpreter_tag, list_extension_tags
from boragetiller.installation.installed_files import find_damaged_file, list_distributions
from boragetiller.installation.requirements import read_pins

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


class InstallationFailed(Exception):
    """The dependencies cannot be installed, or not be imported after their installation."""


def install_dependencies(requirements: Path, folder: Path) -> str | None:
    """
    Make a folder hold the exact dependencies for the running interpreter.

    The folder is replaced as a whole, so an interrupted installation is never taken for a complete
    one. If it holds the dependencies already, neither pip nor the network is used.

    :param requirements: requirements file that pins all dependencies
    :param folder: the folder to fill
    :return: why the folder had to be replaced, None if it was left as it is
    :raises InstallationFailed: pip failed, or what it installed is not usable
    :raises RequirementInvalid: the requirements file does not pin a dependency
    """
    pins = read_pins(requirements)
    folder.parent.mkdir(parents=True, exist_ok=True)
    with _lock(folder.with_suffix(".lock")):
        reason = find_fault(folder, pins)
        if reason is not None:
            try:
                _replace_folder(requirements, folder, pins)
            except InstallationFailed as error:
                raise InstallationFailed(f"{folder}: {reason}; {error}") from error
        compile_folder(folder)
        return reason


def find_fault(folder: Path, pins: dict[str, str]) -> str | None:
    """
    Check whether a folder holds the exact dependencies for the running interpreter.

    :param folder: the folder
    :param pins: exact version of each dependency
    :return: the first difference found, None if there is none
    """
    if not folder.is_dir():
        return "not installed"
    installed = list_distributions(folder)
    for name in sorted(pins.keys() | installed.keys()):
        if installed.get(name) != pins.get(name):
            found, required = installed.get(name, "none"), pins.get(name, "none")
            return f"{name}: version {found} is installed, {required} is required"
    foreign = set(list_extension_tags(folder)) - {get_interpreter_tag()}
    if foreign:
        return f"made for {', '.join(sorted(foreign))}; python3 is {get_interpreter_tag()}"
    return find_damaged_file(folder) or _find_import_error(folder)


def _replace_folder(requirements: Path, folder: Path, pins: dict[str, str]) -> None:
    new, old = folder.with_suffix(".new"), folder.with_suffix(".old")
    for path in (new, old):
        shutil.rmtree(path, ignore_errors=True)
    _run_pip(requirements, new)
    fault = find_fault(new, pins)
    if fault is not None:
        raise InstallationFailed(f"not usable after its installation: {fault}")
    if folder.exists():
        folder.rename(old)
    new.rename(folder)
    shutil.rmtree(old, ignore_errors=True)


def _run_pip(requirements: Path, folder: Path) -> None:
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--disable-pip-version-check"]
    command += ["--no-deps", "--no-compile", "--target", str(folder), "-r", str(requirements)]
    code = subprocess.run(command, check=False).returncode
    if code:
        raise InstallationFailed(f"pip exited with {code}; see its messages above")


def _find_import_error(folder: Path) -> str | None:
    """Import each module in a process of its own, without other folders of modules."""
    names = sorted(
        path.name.removesuffix(".py")
        for path in folder.iterdir()
        if path.suffix == ".py" or (path / "__init__.py").is_file()
    )
    command = [sys.executable, "-S", "-B", "-c", f"import {', '.join(names)}"]
    environment = os.environ | {"PYTHONPATH": str(folder)}
    result = subprocess.run(command, check=False, env=environment, capture_output=True, text=True)
    if result.returncode == 0:
        return None
    messages = result.stderr.strip().splitlines() or [f"exit code {result.returncode}"]
    return f"cannot be imported: {messages[-1]}"


@contextmanager
def _lock(path: Path) -> Iterator[None]:
    """Exclude other builds of the same tree; the kernel releases the lock of a killed one."""
    with path.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


__all__ = ["InstallationFailed", "find_fault", "install_dependencies"]
