"""Shared rate limits, retry budgets, circuits and backoff."""
