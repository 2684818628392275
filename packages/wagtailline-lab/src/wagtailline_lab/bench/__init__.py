"""Benchmarks that are run with ``python -m`` and print their results."""
