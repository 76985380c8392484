"""Hash functions whose results are equal in every process."""

from __future__ import annotations

from hashlib import blake2b

_MASK_64 = (1 << 64) - 1


def stable_hash(*parts: str) -> int:
    """
    Hash strings with BLAKE2b.

    :param parts: strings to hash, in order
    :return: unsigned 64-bit integer
    """
    return int.from_bytes(blake2b("\0".join(parts).encode(), digest_size=8).digest(), "big")


def mix64(value: int) -> int:
    """
    Mix the bits of an integer with the finalizer of splitmix64.

    Much cheaper than :func:`stable_hash`, for rankings that hash many pairs.

    :param value: unsigned 64-bit integer
    :return: unsigned 64-bit integer
    """
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK_64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK_64
    return value ^ (value >> 31)


__all__ = ["mix64", "stable_hash"]
