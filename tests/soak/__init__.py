"""Randomised faults against real gateway processes; see `play`."""
