"""Decision logic as functions over tables, without sockets, clocks or global random state."""

from __future__ import annotations
