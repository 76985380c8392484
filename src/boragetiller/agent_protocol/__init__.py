"""Protocol between router and agent: attempts and the frames of their responses."""

from __future__ import annotations
