"""Tests of ``dragonflyrock.tables``."""
