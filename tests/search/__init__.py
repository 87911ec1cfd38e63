"""A search for schedules of failures that break a promise, beside the tests."""
