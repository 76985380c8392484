"""Hashes that are the same in every process."""

from __future__ import annotations

from hashlib import blake2b

_MASK = (1 << 64) - 1


def stable_hash(*parts: str) -> int:
    """
    Hash strings.

    :param parts: what to hash
    :return: an unsigned number of 64 bits
    """
    return int.from_bytes(blake2b("\0".join(parts).encode(), digest_size=8).digest(), "big")


def mix64(value: int) -> int:
    """
    Spread the bits of a number, to order many pairs cheaply.

    :param value: an unsigned number of 64 bits
    :return: an unsigned number of 64 bits
    """
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


__all__ = ["mix64", "stable_hash"]
