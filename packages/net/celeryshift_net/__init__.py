"""HTTP connections and calls to other processes."""
