"""
What a process or a build is made of: interpreter, dependencies, bytecode and source.

The modules import the standard library only: they run before the dependencies are installed, and
when these cannot be imported.
"""

from __future__ import annotations
