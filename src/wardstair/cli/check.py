"""`wardstair-check`: validates settings and configuration files."""

from pathlib import Path

import fire
from result import Err, Ok, Result

from wardstair.errors import Fault
from wardstair.platform.settings import settings_faults
from wardstair.process.settings import check_settings
from wardstair.version.document import check_document, read_toml


def check(*files: str) -> None:
    """Check TOML files and print every fault with its remedy.

    A file with `fleet_ports` is checked as the settings of a gateway, one with
    a `host` table as the settings of an entry host, and any other as steering
    configuration. A missing gateway setting is reported as a fault, although
    the gateway starts without it.

    Args:
        files: Paths of the files.
    """
    faults = [fault for file in files for fault in _find_faults(Path(file))]
    for fault in faults:
        print(fault)
    if faults or not files:
        raise SystemExit(1)


def _find_faults(path: Path) -> list[Fault]:
    match read_toml(path):
        case Ok(content) if 'fleet_ports' in content:
            return settings_faults(path)
        case Ok(content):
            result = _check_content(content, str(path))
            return result.err_value if isinstance(result, Err) else []
        case Err(faults):
            return faults


def _check_content(
    content: dict[str, object],
    source: str,
) -> Result[object, list[Fault]]:
    if 'host' in content:
        return check_settings(content, source)
    return check_document(content, source)


def main() -> None:
    """Run the command line."""
    fire.Fire(check, name='wardstair-check')
