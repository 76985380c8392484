"""JSON texts that do not parse, or whose values have another type or cannot be used or sent."""

from __future__ import annotations

from hypothesis import strategies as st

UNUSABLE_VALUES = (
    str(10**310),  # exceeds the largest float
    str(-(10**310)),
    "9" * 4_300,  # the longest integer that Python converts
    "9" * 4_301,
    "1e999",
    "NaN",
    "-Infinity",
    str(1 << 63),  # exceeds Int64
    "1e300",
    '"10.0.0.' + "1" * 4_301 + ':80"',
    '"10.0.0.1:' + "1" * 4_301 + '"',
    '"10.0.0.1:\\u00b2"',  # a digit that int() refuses
    '"10.0.0.01:80"',
    '"a\\ud800"',  # a lone surrogate
    '"a\\r\\nX-Injected: 1"',
    '"a\\u0000"',
    "[" * 5_000,
    "[" * 200 + "]" * 200,
    "{}",
    "true",
)

# Integers beyond the range of a float, which st.integers() practically never draws, and texts with
# lone surrogates, which st.text() excludes.
WIDE_INTEGERS = st.builds(
    lambda sign, digits, low: sign * (10**digits + low),
    st.sampled_from([1, -1]),
    st.integers(min_value=0, max_value=4_299),
    st.integers(min_value=0, max_value=9),
)
WIDE_TEXT = st.text(st.characters(exclude_categories=()), max_size=9)
WIDE_SCALARS = st.none() | st.booleans() | st.integers() | WIDE_INTEGERS | st.floats() | WIDE_TEXT


__all__ = ["UNUSABLE_VALUES", "WIDE_INTEGERS", "WIDE_SCALARS", "WIDE_TEXT"]
