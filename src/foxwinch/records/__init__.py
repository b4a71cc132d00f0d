"""Records in the shared store: budgets of programs and turns of conversations."""
