"""Tests of ``dragonflyrock.control``."""
