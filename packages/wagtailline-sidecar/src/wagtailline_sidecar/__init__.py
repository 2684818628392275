"""Sidecar daemon for platforms whose endpoints register themselves."""
