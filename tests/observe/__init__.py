"""Tests of ``dragonflyrock.observe``."""
