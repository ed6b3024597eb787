"""The node that serves callers and owns cells."""
