"""A soak of real router processes under faults, judged by what callers and servers saw."""

from __future__ import annotations
