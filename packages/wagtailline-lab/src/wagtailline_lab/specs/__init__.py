"""Explicit-state models of the core protocols, checked with minicheck."""
