"""Claims of idempotency keys: the interface, and an implementation in memory."""

from __future__ import annotations

from typing import Protocol

import attrs


@attrs.frozen(kw_only=True)
class StoredResponse:
    """Response of a finished call, stored for replay byte for byte."""

    status: int
    content_type: str
    body: bytes
    headers: dict[str, str] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class KeyedCall:
    """A call that carries an idempotency key."""

    customer: str
    group: str
    key: str
    fingerprint: str  # 16-byte BLAKE2b digest of method, path and body, in hexadecimal
    request_id: str
    attempt: int
    arrived_wall_ms: int | None = None  # when the caller's request arrived at its router


class ClaimRegistry(Protocol):
    """Decides whether a keyed call may run here."""

    async def claim(self, call: KeyedCall) -> StoredResponse | None:
        """
        Claim the key of a call, or return the stored response of the key.

        :param call: the call
        :return: the stored response, None when the call is to run now
        :raises BoragetillerError: the call must not run; the verdict says whether a call of the key
            may have run
        """
        ...

    async def finish(self, call: KeyedCall, response: StoredResponse | None) -> None:
        """
        Record the end of a claimed call.

        :param call: the call
        :param response: the response, None when the call may have run and its response is lost
        """
        ...

    async def abandon(self, call: KeyedCall) -> None:
        """Release the claim of a call of which no byte reached the backend server."""
        ...

    def owned_shards(self) -> tuple[int, ...]:
        """:return: shards that this agent owns, as reported to routers"""
        ...

    async def start(self) -> None:
        """Start to take ownership of shards."""
        ...

    async def drain(self) -> None:
        """Commit remaining claims and release every shard."""
        ...

    async def close(self) -> None:
        """Stop and refuse waiting calls."""
        ...


class MemoryClaimRegistry:
    """Claims of one agent in memory; they are lost when its process ends."""

    def __init__(self) -> None:
        """Start without claims."""
        self._responses: dict[tuple[str, str, str], StoredResponse | None] = {}

    async def claim(self, call: KeyedCall) -> StoredResponse | None:
        """See :class:`ClaimRegistry`."""
        claim_id = (call.customer, call.group, call.key)
        if claim_id in self._responses:
            return self._responses[claim_id]
        self._responses[claim_id] = None
        return None

    async def abandon(self, call: KeyedCall) -> None:
        """See :class:`ClaimRegistry`."""
        self._responses.pop((call.customer, call.group, call.key), None)

    def owned_shards(self) -> tuple[int, ...]:
        """See :class:`ClaimRegistry`."""
        return ()

    async def start(self) -> None:
        """See :class:`ClaimRegistry`."""

    async def drain(self) -> None:
        """See :class:`ClaimRegistry`."""

    async def close(self) -> None:
        """See :class:`ClaimRegistry`."""

    async def finish(self, call: KeyedCall, response: StoredResponse | None) -> None:
        """See :class:`ClaimRegistry`."""
        self._responses[(call.customer, call.group, call.key)] = response


__all__ = ["ClaimRegistry", "KeyedCall", "MemoryClaimRegistry", "StoredResponse"]
