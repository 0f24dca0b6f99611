"""Pure decisions over data classes: no input, output or clock."""
