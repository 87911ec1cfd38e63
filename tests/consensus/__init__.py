"""Tests of ``dragonflyrock.consensus``."""
