"""`wardstair-standin`: fakes of external systems, one role per process."""

import asyncio

import fire

from wardstair.standins.platform import PlatformStandin
from wardstair.standins.upstream import UpstreamStandin


class Standin:
    """Fakes of external systems for tests and trials, not for production."""

    def platform(self, port: int) -> None:
        """Serve the platform's object API from memory.

        Args:
            port: Port on loopback.
        """
        asyncio.run(_forever(PlatformStandin(), port))

    def upstream(self, name: str, port: int, slots: int = 9) -> None:
        """Serve as an upstream.

        Args:
            name: Name of the upstream.
            port: Port on loopback.
            slots: Number of concurrent requests that it claims to serve.
        """
        asyncio.run(_forever(UpstreamStandin(name, slots), port))


async def _forever(
    standin: PlatformStandin | UpstreamStandin,
    port: int,
) -> None:
    standin.start(port)
    await asyncio.Event().wait()


def main() -> None:
    """Run the command line."""
    fire.Fire(Standin, name='wardstair-standin')
