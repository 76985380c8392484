"""
Encoding of a sketch of response times for the reports between routers.

A version byte, then for each bin with samples two numbers: how many bins it is after the last one,
or after the bin of 1 ms, and how many samples it has. A number has seven bits in each byte, the
lowest first; the highest bit says that another byte follows.
"""

from __future__ import annotations

from boragetiller.systems.hedging.latency_windows import (
    MAPPING,
    MAX_MS,
    MIN_MS,
    LatencySketch,
)

VERSION = 1
MAX_SUMMARY_BYTES = 400
MAX_SAMPLES = 1_000_000  # of one summary; no router answers as many calls between two of them
MAX_SMALL_COUNT = 127  # fits into one byte
_MIN_KEY, _MAX_KEY = MAPPING.key(MIN_MS), MAPPING.key(MAX_MS)


def encode_sketch(sketch: LatencySketch) -> bytes:
    """
    Encode a sketch, with scaled-down counts if it would be too large.

    :param sketch: sketch with at least one sample
    :return: MAX_SUMMARY_BYTES at most
    """
    bins = sketch.bins
    counts = {
        index + bins.offset: round(count) for index, count in enumerate(bins.bins) if count >= 1
    }
    encoded = _encode_counts(counts)
    if len(encoded) > MAX_SUMMARY_BYTES:
        highest = max(counts.values())
        scaled = {key: max(1, count * MAX_SMALL_COUNT // highest) for key, count in counts.items()}
        encoded = _encode_counts(scaled)
    return encoded


def decode_sketch(data: bytes) -> LatencySketch:
    """
    Decode a sketch that another router sent.

    :param data: the encoded sketch
    :return: the sketch
    :raises ValueError: it is malformed or too large
    """
    if not 0 < len(data) <= MAX_SUMMARY_BYTES:
        raise ValueError(f"got {len(data)} bytes; allowed are 1 to {MAX_SUMMARY_BYTES}")
    if data[0] != VERSION:
        raise ValueError(f"got version {data[0]}; must be {VERSION}")
    numbers = _read_numbers(data[1:])
    if len(numbers) % 2:
        raise ValueError("a bin has no number of samples")
    sketch, key, samples = LatencySketch(), _MIN_KEY, 0
    for gap, count in zip(numbers[::2], numbers[1::2], strict=True):
        key, samples = key + gap, samples + count
        if key > _MAX_KEY or count < 1 or samples > MAX_SAMPLES:
            raise ValueError("a response time or a number of samples is out of range")
        sketch.record(MAPPING.value(key), count)
    return sketch


def _encode_counts(counts: dict[int, int]) -> bytes:
    encoded, last_key = bytearray([VERSION]), _MIN_KEY
    for key in sorted(counts):
        encoded += _encode_number(max(0, key - last_key)) + _encode_number(counts[key])
        last_key = key
    return bytes(encoded)


def _encode_number(number: int) -> bytes:
    encoded = bytearray()
    while number > MAX_SMALL_COUNT:
        encoded.append(number & MAX_SMALL_COUNT | 0x80)
        number >>= 7
    encoded.append(number)
    return bytes(encoded)


def _read_numbers(data: bytes) -> list[int]:
    numbers, number, shift = [], 0, 0
    for byte in data:
        number |= (byte & MAX_SMALL_COUNT) << shift
        shift += 7
        if not byte & 0x80:
            numbers.append(number)
            number, shift = 0, 0
    if shift:
        raise ValueError("the last number is incomplete")
    return numbers


__all__ = ["MAX_SUMMARY_BYTES", "decode_sketch", "encode_sketch"]
