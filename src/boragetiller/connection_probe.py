"""Check whether a crashed process explains a broken connection."""

from __future__ import annotations

import asyncio

from boragetiller.timeouts import wait_with_timeout


async def refuses_connections(host: str | None, port: int | None, timeout_s: float) -> bool:
    """
    Check whether nothing listens at an address any more.

    :param host: host name or address
    :param port: TCP port
    :param timeout_s: time limit in seconds
    :return: whether a new connection was refused; False if it was opened or did not come about
    """
    try:
        _, writer = await wait_with_timeout(timeout_s, asyncio.open_connection(host, port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


__all__ = ["refuses_connections"]
