"""
Measure the bytes of one read of the host list, in full and with status 304.

    python -m bench.host_list --hosts 1700
"""

from __future__ import annotations

import asyncio

import fire

from boragetiller.platform_clients.hosts import Host
from boragetiller.standin.platform_server import PlatformServer, PlatformServerSettings


async def _measure(hosts: int) -> str:
    server = PlatformServer(PlatformServerSettings())
    await server.start()
    for number in range(hosts):
        server.host_list.put(_build_host(number))
    port = int(server.url.rpartition(":")[2])
    full_response = await _send_request(port, "")
    etag_line = next(
        line for line in full_response.split(b"\r\n") if line.lower().startswith(b"etag:")
    )
    unchanged_response = await _send_request(
        port, "If-None-Match: " + etag_line.split(b" ")[1].decode() + "\r\n"
    )
    await server.close()
    status = unchanged_response.split(b" ")[1].decode()
    return (
        f"hosts={hosts}: whole {len(full_response)} B, unchanged {len(unchanged_response)} B "
        f"(status {status})"
    )


async def _send_request(port: int, headers: str) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    request = f"GET /hosts HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n{headers}\r\n"
    writer.write(request.encode())
    response = await reader.read()
    writer.close()
    return response


def _build_host(number: int) -> Host:
    return Host(
        name=f"tiller-pool-{number}",
        role="agent",
        address=f"10.0.{number // 256}.{number % 256}",
        data_port=8_000,
        control_port=8_001,
        failure_domain=f"domain-{number % 21}",
        region=f"region-{number % 6}",
        group="tiller-pool",
    )


def main(hosts: int = 1_700) -> None:
    """
    Measure the size of both responses and print it.

    :param hosts: number of entries in the list
    """
    print(asyncio.run(_measure(hosts)))


if __name__ == "__main__":
    fire.Fire(main)
