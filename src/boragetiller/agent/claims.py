"""What the agent asks before it runs a keyed call that may not be repeated."""

from __future__ import annotations

from typing import Protocol

import attrs


@attrs.frozen(kw_only=True)
class StoredResponse:
    """A finished answer, kept for replay byte for byte."""

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
    fingerprint: str  # SHA-256 of method, path and body
    request_id: str
    attempt: int
    arrived_wall_ms: int | None = None  # when the caller's request reached its router


class ClaimRegistry(Protocol):
    """Decides whether a keyed call may run here."""

    async def claim(self, call: KeyedCall) -> StoredResponse | None:
        """
        Claim the key, or replay its answer.

        :return: the kept answer, or None when the call now runs exactly once
        :raises BoragetillerError: with the honest verdict when the call must not run
        """
        ...

    async def finish(self, call: KeyedCall, answer: StoredResponse | None) -> None:
        """
        Note the end of a claimed call.

        :param answer: the answer, None when the call may have run and its answer is lost
        """
        ...

    async def abandon(self, call: KeyedCall) -> None:
        """Take back a claimed call of which no byte reached the backend server."""
        ...

    def owned_shards(self) -> tuple[int, ...]:
        """:return: shards whose keys are decided here, for the reports to routers"""
        ...

    async def start(self) -> None:
        """Begin to own shards."""
        ...

    async def drain(self) -> None:
        """Commit what is left and release every shard."""
        ...

    async def close(self) -> None:
        """Stop; calls that wait are refused."""
        ...


class MemoryClaimRegistry:
    """Claims kept by one agent only; they end with its process."""

    def __init__(self) -> None:
        """Start with no claims."""
        self._answers: dict[tuple[str, str, str], StoredResponse | None] = {}

    async def claim(self, call: KeyedCall) -> StoredResponse | None:
        """See :class:`ClaimRegistry`."""
        name = (call.customer, call.group, call.key)
        if name in self._answers:
            return self._answers[name]
        self._answers[name] = None
        return None

    async def abandon(self, call: KeyedCall) -> None:
        """See :class:`ClaimRegistry`."""
        self._answers.pop((call.customer, call.group, call.key), None)

    def owned_shards(self) -> tuple[int, ...]:
        """See :class:`ClaimRegistry`."""
        return ()

    async def start(self) -> None:
        """See :class:`ClaimRegistry`."""

    async def drain(self) -> None:
        """See :class:`ClaimRegistry`."""

    async def close(self) -> None:
        """See :class:`ClaimRegistry`."""

    async def finish(self, call: KeyedCall, answer: StoredResponse | None) -> None:
        """See :class:`ClaimRegistry`."""
        self._answers[(call.customer, call.group, call.key)] = answer


__all__ = ["ClaimRegistry", "KeyedCall", "MemoryClaimRegistry", "StoredResponse"]
