"""Tests of ``dragonflyrock.systems``."""
