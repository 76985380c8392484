"""Small stand-ins for the platform and the backend servers, and the demo."""

from __future__ import annotations
