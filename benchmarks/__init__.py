"""Benchmarks, which are run by hand and are not part of the tests."""
