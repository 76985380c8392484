"""Decisions under overload and on servers of different speed."""

from __future__ import annotations
