"""Small fakes of outside systems for tests and trials."""
