"""Shared rate limits, retry budgets, circuit breakers and backoff."""
