"""Tests of ``dragonflyrock.trial``."""
