"""Tests of ``dragonflyrock.router``."""
