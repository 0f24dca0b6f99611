"""`wardstair-check`: checks settings and configuration without running them."""

from pathlib import Path

import fire
from result import Err, Ok, Result

from wardstair.errors import Fault
from wardstair.platform.settings import settings_faults
from wardstair.process.settings import check_settings
from wardstair.version.document import check_document, read_toml


def check(*files: str) -> None:
    """Check TOML files and name the remedy of every fault.

    A file with `fleet_ports` is read as the settings of a gateway, one with a
    `host` table as those of an entry host, any other as steering
    configuration. A gateway's setting that is not given is a fault here,
    though the gateway starts without it.

    Args:
        files: Paths of the files.
    """
    faults = [fault for name in files for fault in _faults(Path(name))]
    for fault in faults:
        print(fault)
    if faults or not files:
        raise SystemExit(1)


def _faults(path: Path) -> list[Fault]:
    match read_toml(path):
        case Ok(content) if 'fleet_ports' in content:
            return settings_faults(path)
        case Ok(content):
            checked = _checked(content, str(path))
            return checked.err_value if isinstance(checked, Err) else []
        case Err(faults):
            return faults


def _checked(
    content: dict[str, object],
    source: str,
) -> Result[object, list[Fault]]:
    if 'host' in content:
        return check_settings(content, source)
    return check_document(content, source)


def main() -> None:
    """Run the command line."""
    fire.Fire(check, name='wardstair-check')
