"""Goal state against actual state of models on workers."""
