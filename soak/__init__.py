"""Soak test: plays faults on real nodes and checks what callers and servers observe."""
