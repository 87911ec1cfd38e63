"""Tests, in the order of the source tree."""
