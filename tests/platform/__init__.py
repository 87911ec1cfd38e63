"""Tests of ``dragonflyrock.platform``."""
