"""Gives each scenario its own event loop and deployment."""

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent / 'tests'))

from wardstair.process.log import configure_logging  # noqa: E402


def before_all(context: Any) -> None:
    """Log only errors."""
    configure_logging('ERROR')


def before_scenario(context: Any, scenario: Any) -> None:
    """Create the event loop of a scenario."""
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.trial = None


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop the deployment and close the event loop."""
    if context.trial is not None:
        context.trial.client.close()
        context.loop.run_until_complete(context.trial.deployment.stop())
    context.loop.close()
