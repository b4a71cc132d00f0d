"""Routes, services and workers: which worker serves a request."""
