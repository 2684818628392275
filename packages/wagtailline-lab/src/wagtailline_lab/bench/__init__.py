"""Benchmarks, run by ``python -m``; each prints a table."""
