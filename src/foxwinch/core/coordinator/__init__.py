"""Scheduling of one worker pool: queueing, cache tracking, placement and grants."""
