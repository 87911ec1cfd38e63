"""Tests of ``dragonflyrock.transport``."""
