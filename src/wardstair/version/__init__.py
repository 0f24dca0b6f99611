"""Data that belongs to one version of the steering configuration."""
