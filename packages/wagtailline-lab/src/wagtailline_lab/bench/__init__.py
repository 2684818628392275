"""Benchmarks; each prints a table and compares with baselines."""
