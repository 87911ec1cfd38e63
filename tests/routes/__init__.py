"""Tests of ``dragonflyrock.routes``."""
