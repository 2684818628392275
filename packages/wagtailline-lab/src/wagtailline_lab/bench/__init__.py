"""Benchmarks; each module runs by ``python -m``."""
