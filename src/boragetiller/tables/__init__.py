"""State that the functions of :mod:`boragetiller.systems` read and update."""

from __future__ import annotations
