"""Plays faults on the real programs and checks what callers, servers and operators see."""
