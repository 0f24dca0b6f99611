"""What lives for one version of the steering configuration."""
