"""Decisions of a process under more load than it can take."""
