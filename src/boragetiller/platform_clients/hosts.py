"""Interface of the platform's host list, which shows changes with a delay."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import attrs


class HostState(Enum):
    """State of a listed host; hosts that have gone are no longer listed."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class Host:
    """A host and how to reach the process of this system that it runs."""

    name: str
    role: str
    address: str
    data_port: int
    control_port: int
    failure_domain: str
    region: str = "default"
    group: str = ""
    state: HostState = HostState.LIVE


class HostList(Protocol):
    """Read access to the host list."""

    async def list_hosts(self) -> list[Host]:
        """
        Fetch the list.

        :return: every live and leaving host
        :raises StoreUnavailable: no response, or an invalid one
        """
        ...

    async def close(self) -> None:
        """Close connections."""
        ...


__all__ = ["Host", "HostList", "HostState"]
