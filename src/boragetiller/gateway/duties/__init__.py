"""Duties: calls to the platform that one router makes at a time."""

from __future__ import annotations
