"""Simulations, local service mesh, models and benchmarks of wagtailline."""
