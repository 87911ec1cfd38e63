"""Entry nodes and control nodes, each of which runs on one event loop."""
