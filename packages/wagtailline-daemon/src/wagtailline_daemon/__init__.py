"""The daemon beside each upstream: ingress, gate and member of the mesh."""
