"""Randomised fault injection against real gateway processes; see `play`."""
