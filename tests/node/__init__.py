"""Tests of ``dragonflyrock.node``."""
