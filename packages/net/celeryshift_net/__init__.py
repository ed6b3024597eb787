"""Connections to other processes, and calls over them."""
