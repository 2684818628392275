"""Benchmarks; each prints a table and a baseline from the same run."""
