"""Compare scheduling policies on modelled engines in virtual time."""
