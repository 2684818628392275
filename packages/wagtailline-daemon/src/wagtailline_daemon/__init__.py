"""Daemon next to each upstream: ingress, admission gate and mesh member."""
