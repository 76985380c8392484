"""Callers that read their responses slowly."""
