"""One pool of workers: queueing, cache, placement and grants."""
