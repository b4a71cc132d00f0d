"""Records of the shared store: program budgets and conversation turns."""
