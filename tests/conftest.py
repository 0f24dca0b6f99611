"""What all tests share."""

from hypothesis import settings

pytest_plugins = ('pytester', 'lib.known_red')

# The same examples in each run, and no time asserted: the library's 0.2 s for
# one example was exceeded on a busy machine; 100 of that test take 2.7 s.
settings.register_profile('fixed', deadline=None, derandomize=True)
settings.load_profile('fixed')
