"""Access to the shared store: budgets, conversation turns and program journals."""
