"""What speaks the municipal platform's protocols, and nothing else."""
