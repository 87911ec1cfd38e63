"""Tests of routing under load, on a simulated clock."""
