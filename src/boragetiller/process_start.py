"""The log line of a process that has started."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event

if TYPE_CHECKING:
    from boragetiller.installation.build_info import BuildInfo


def log_process_started(role: str, name: str, build: BuildInfo) -> None:
    """
    Log that a process listens and serves, and what it is made of.

    :param role: role of the process
    :param name: name of the process
    :param build: versions of the process and of its libraries
    """
    log_event(
        Event.PROCESS_STARTED,
        role=role,
        name=name,
        version=build.version,
        source=build.source,
        python=build.python,
        machine=build.machine,
        libraries=build.libraries,
    )


__all__ = ["log_process_started"]
