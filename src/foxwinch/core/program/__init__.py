"""Programs and their calls: states, order, budgets, idempotency; pure."""
