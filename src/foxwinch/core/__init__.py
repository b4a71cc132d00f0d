"""Decision code: events and a time go in, typed actions come out; no I/O, clock or randomness."""
