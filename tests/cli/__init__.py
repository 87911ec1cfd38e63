"""Tests of ``dragonflyrock.cli``."""
