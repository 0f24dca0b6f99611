"""Tests that are known to fail, listed in `KNOWN-RED.txt`: a pytest plugin.

A listed test is expected to fail and is printed with its cause. One that
passes while it is listed fails the run, so that the list is never longer than
what is red, unless its cause says that it fails `at times`. Each line names a
test, its cause and an issue, with semicolons between; `tests/file.py::name`
stands for all rows of that test's table.
"""

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = 'KNOWN-RED.txt'
# More would be a list that nobody mends.
MOST_LISTED = 3
FIELDS = 3
# Begin of the cause of a test that fails in some runs only.
AT_TIMES = 'at times: '


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One line of the list.

    Attributes:
        test: The test as pytest names it, with or without its row.
        cause: Why it fails.
        issue: Where it will be mended.
    """

    test: str
    cause: str
    issue: str

    def covers(self, node_id: str) -> bool:
        """Return whether a collected test is meant."""
        return node_id == self.test or node_id.startswith(f'{self.test}[')

    @property
    def file_name(self) -> str:
        """File of the test, from the root."""
        return self.test.partition('::')[0]


def read_list(path: Path) -> list[KnownRed]:
    """Read the list; empty if there is no file.

    Args:
        path: The file.

    Raises:
        pytest.UsageError: A line lacks a field, or there are too many.
    """
    if not path.exists():
        return []
    lines = path.read_text(encoding='utf-8').splitlines()
    listed = [_parse(line) for line in lines if line.strip()]
    if len(listed) > MOST_LISTED:
        raise pytest.UsageError(
            f'{FILE_NAME} lists {len(listed)} tests, {MOST_LISTED} at most: '
            'mend one first',
        )
    return listed


def _parse(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split(';')]
    if len(parts) != FIELDS or not all(parts):
        raise pytest.UsageError(
            f'{FILE_NAME}: write `test; cause; issue`, not: {line}',
        )
    return KnownRed(*parts)


def pytest_collection_modifyitems(
    config: pytest.Config,
    items: list[pytest.Item],
) -> None:
    """Expect the listed tests to fail."""
    listed = read_list(config.rootpath / FILE_NAME)
    for known in listed:
        _check_collected(known, items)
    for item in items:
        for known in listed:
            if known.covers(item.nodeid):
                reason = f'{known.cause} ({known.issue})'
                is_strict = not known.cause.startswith(AT_TIMES)
                item.add_marker(
                    pytest.mark.xfail(reason=reason, strict=is_strict),
                )


def _check_collected(known: KnownRed, items: list[pytest.Item]) -> None:
    """Refuse a line whose test has gone, unless its file is not run."""
    names = [item.nodeid for item in items]
    is_run = any(name.startswith(f'{known.file_name}::') for name in names)
    if is_run and not any(known.covers(name) for name in names):
        raise pytest.UsageError(
            f'{FILE_NAME} lists {known.test}, which is not there: '
            'correct the line or take it out',
        )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
    config: pytest.Config,
) -> None:
    """Print the list, so that each run says what is red."""
    for known in read_list(config.rootpath / FILE_NAME):
        terminalreporter.write_line(
            f'KNOWN RED: {known.test}: {known.cause} ({known.issue})',
            yellow=True,
        )
