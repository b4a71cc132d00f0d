"""Program budgets and conversation turns as records of the shared store."""
