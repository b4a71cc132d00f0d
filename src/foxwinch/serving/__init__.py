"""Serving of callers' requests, from routing to the response."""
