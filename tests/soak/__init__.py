"""Tests of ``soak``."""
