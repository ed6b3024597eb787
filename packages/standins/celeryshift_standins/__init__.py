"""Stand-ins for what celeryshift meets: platform, workers, callers."""
