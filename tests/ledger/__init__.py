"""Tests of ``dragonflyrock.ledger``."""
