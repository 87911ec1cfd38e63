"""Tests of ``dragonflyrock.http``."""
