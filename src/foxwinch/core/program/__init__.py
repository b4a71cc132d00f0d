"""Pure state machine of programs and their calls: order, budgets and idempotency."""
