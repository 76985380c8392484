"""Golden tests: transcripts of complete sessions, compared with stored files."""

from __future__ import annotations
