"""What all tests share."""

pytest_plugins = ('pytester', 'lib.known_red')
