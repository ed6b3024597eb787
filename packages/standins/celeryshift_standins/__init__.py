"""Simulated platform, workers and callers, for tests and demos."""
