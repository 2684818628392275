"""Benchmarks; each prints a table and is run by ``python -m``."""
