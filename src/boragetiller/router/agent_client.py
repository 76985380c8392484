"""HTTP client that sends attempts to agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from boragetiller.agent_protocol.attempt import (
    ATTEMPT_HEADER,
    ATTEMPT_PATH,
    WITHDRAW_PATH,
    derive_data_path_token,
)
from boragetiller.agent_protocol.frames import Frame, FrameDecoder, FrameKind, parse_error
from boragetiller.errors import (
    AgentLost,
    AgentUnreachable,
    BackendTimeout,
    BoragetillerError,
    ProtocolError,
)
from boragetiller.tls import build_client_tls_context
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from boragetiller.agent_protocol.attempt import Attempt
    from boragetiller.settings import Settings
    from boragetiller.tables.agents import AgentEntry

WITHDRAW_TIMEOUT_S = 1.0


class AgentClient:
    """Sends attempts to agents and reads the frames of their responses."""

    def __init__(self, settings: Settings) -> None:
        """:param settings: control key, TLS and timeouts"""
        self._settings = settings
        self._headers = {"Authorization": "Bearer " + derive_data_path_token(settings.control.key)}
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        placement = self._settings.placement
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=placement.connect_timeout_ms / 1_000,
            sock_read=placement.silence_timeout_ms / 1_000,
        )
        peer_tls = self._settings.peer_tls
        connector = aiohttp.TCPConnector(limit=0)
        if peer_tls is not None:
            connector = aiohttp.TCPConnector(limit=0, ssl=build_client_tls_context(peer_tls))
        self._session = aiohttp.ClientSession(
            connector=connector, timeout=timeout, auto_decompress=False
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self, agent: AgentEntry, attempt: Attempt, body: bytes
    ) -> AsyncGenerator[list[Frame], None]:
        """
        Send an attempt and read the frames of its response.

        :param agent: receiver of the attempt
        :param attempt: the attempt
        :param body: body for the backend server
        :return: lists of HEAD and DATA frames as they arrive, until the END frame
        :raises BoragetillerError: the attempt failed; the verdict says whether it may have run
        """
        assert self._session is not None
        headers = {**self._headers, ATTEMPT_HEADER: attempt.to_header()}
        url = self._build_url(agent, ATTEMPT_PATH)
        try:
            async with self._session.post(url, data=body, headers=headers) as response:
                _check_status(response)
                async for frames in _read_frames(response, attempt.number):
                    yield frames
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _classify_error(error) from error

    async def withdraw(self, agent: AgentEntry, attempt: Attempt) -> Verdict:
        """
        Ask an agent whether it sent an attempt to its backend server; if not, it never will.

        :param agent: the agent that the attempt was sent to
        :param attempt: the attempt
        :return: NOT_RUN only if the same incarnation of the agent confirms it
        """
        assert self._session is not None
        fields = {
            "request_id": attempt.request_id,
            "number": attempt.number,
            "incarnation": agent.incarnation,
        }
        timeout = aiohttp.ClientTimeout(total=WITHDRAW_TIMEOUT_S)
        try:
            async with self._session.post(
                self._build_url(agent, WITHDRAW_PATH),
                json=fields,
                headers=self._headers,
                timeout=timeout,
            ) as response:
                withdrawal = await response.json()
                verdict = Verdict(withdrawal["verdict"])
                return verdict if withdrawal["known"] is True else Verdict.MAY_HAVE_RUN
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError, TypeError):
            return Verdict.MAY_HAVE_RUN

    def _build_url(self, agent: AgentEntry, path: str) -> str:
        scheme = "http" if self._settings.peer_tls is None else "https"
        return f"{scheme}://{agent.address}:{agent.data_port}{path}"


async def _read_frames(
    response: aiohttp.ClientResponse, attempt: int
) -> AsyncGenerator[list[Frame], None]:
    reader = FrameDecoder(attempt)
    async for chunk in response.content.iter_any():
        content: list[Frame] = []
        for frame in reader.feed(chunk):
            if frame.kind is FrameKind.FAIL:
                if content:
                    yield content
                raise parse_error(frame.payload)
            if frame.kind is FrameKind.END:
                if content:
                    yield content
                return
            if frame.kind is not FrameKind.KEEPALIVE:
                content.append(frame)
        if content:
            yield content
    raise AgentLost("response of the agent ended without an END frame")


def _check_status(response: aiohttp.ClientResponse) -> None:
    if response.status != 200:
        raise ProtocolError(
            f"agent responded with status {response.status} instead of 200", verdict=Verdict.NOT_RUN
        )


def _classify_error(error: BaseException) -> BoragetillerError:
    if isinstance(error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)):
        return AgentUnreachable()
    if isinstance(error, TimeoutError):
        return BackendTimeout("agent sent nothing within the silence timeout")
    return AgentLost(type(error).__name__)


__all__ = ["AgentClient"]
