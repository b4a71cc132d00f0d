"""One program: its calls in order, its budget and its history."""
