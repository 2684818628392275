"""Explicit-state specifications of the core protocols, for minicheck."""
