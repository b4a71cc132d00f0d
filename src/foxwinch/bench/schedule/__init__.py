"""Experiments with scheduling policies on the model of the engines, on virtual time."""
