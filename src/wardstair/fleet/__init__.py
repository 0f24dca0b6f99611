"""Membership of entry hosts and the data that they exchange."""
