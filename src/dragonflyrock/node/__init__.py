"""Daemons on an event loop: an entry node and a control node."""
