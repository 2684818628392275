"""Fakes, local mesh, load generator and benchmarks of wagtailline."""
