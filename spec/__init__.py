"""Models of the protocols, checked by the tests."""

from __future__ import annotations
