"""Tests of ``dragonflyrock.entry``."""
