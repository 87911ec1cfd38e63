"""Faults on the real programs, and checks of what others see of them."""
