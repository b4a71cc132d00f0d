"""What only reads state: one module for each query."""
