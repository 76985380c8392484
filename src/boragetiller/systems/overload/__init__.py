"""Decisions of a process, and of routers, under more load than can be taken."""

from __future__ import annotations
