"""Gives each scenario an event loop and a deployment of its own."""

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent / 'tests'))

from wardstair.process.log import configure_logging  # noqa: E402


def before_all(context: Any) -> None:
    """Log only what an operator should look at."""
    configure_logging('ERROR')


def before_scenario(context: Any, scenario: Any) -> None:
    """Make the loop of a scenario."""
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.trial = None


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop the deployment and the loop."""
    if context.trial is not None:
        context.trial.client.close()
        context.loop.run_until_complete(context.trial.deployment.stop())
    context.loop.close()
