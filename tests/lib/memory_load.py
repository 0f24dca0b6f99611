"""A gateway process with little memory, and callers with long bodies."""

import asyncio
import os
import sys
from asyncio.subprocess import DEVNULL, Process
from dataclasses import dataclass
from pathlib import Path
from typing import cast

from lib.rig import Answer, Caller, free_ports, own_address
from lib.specs import (
    ADDRESS,
    Stored,
    configuration_spec,
    route_spec,
    upstream_spec,
)
from lib.store_standin import StoreStandin
from lib.upstream_standin import Seen, UpstreamStandin, whole_answer
from wardstair.gateway.settings import Listener

MEBIBYTE = 1024 * 1024
MAX_BODY_BYTES = 64 * MEBIBYTE
UPSTREAMS = 4
START_SECONDS = 20
# Timeout of the routes, in milliseconds.
ROUTE_MILLISECONDS = 20000


@dataclass(frozen=True)
class Load:
    """One request.

    Attributes:
        body: Length of its body in bytes.
        answer: Length of the answer in bytes.
        chunk: Length of the chunks in which the body is sent, in bytes; 0 to
            state its length.
    """

    body: int = 0
    answer: int = 0
    chunk: int = 0


async def answer_length(
    upstream: UpstreamStandin, seen: Seen, writer: asyncio.StreamWriter
) -> None:
    """Answer with as many bytes as the path says; keep no request."""
    upstream.seen.clear()
    asked = seen.line.split(' ')[1].rpartition('/')[2]
    length = int(asked) if asked.isdecimal() else 0
    extra = (
        'Wardstair-Server-Seal: s.1\r\n'
        f'Wardstair-Instance-Id: {upstream.name}\r\n'
        f'Got: {len(seen.body)}\r\n'
    )
    writer.write(whole_answer(seen.request_id, b'a' * length, extra=extra))
    await writer.drain()


class SmallHost:
    """A gateway process that may use a given amount of memory."""

    def __init__(self, folder: Path, megabytes: int) -> None:
        self._path = folder / 'gateway.toml'
        self._megabytes = megabytes
        self._store = StoreStandin()
        self._upstreams = [
            UpstreamStandin(f'i-{number}', answer_length)
            for number in range(UPSTREAMS)
        ]
        self._listener = Listener(own_address(), 0)
        self._process: Process | None = None
        self._numbers = 0

    async def __aenter__(self) -> 'SmallHost':
        self._store.start()
        self._store.put('config', 'main', _configuration())
        for upstream in self._upstreams:
            await upstream.start()
            entry = upstream_spec(upstream.port)
            self._store.put('servers', upstream.name, entry)
        ports = free_ports(6)
        address = self._listener.host
        self._listener = Listener(address, ports[0])
        self._path.write_text(self._settings(address, ports))
        source = Path(__file__).parents[2] / 'src'
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'wardstair.cli.gateway',
            stdout=DEVNULL,
            env={
                **os.environ,
                'WARDSTAIR_CONFIG': str(self._path),
                'PYTHONPATH': str(source),
            },
        )
        async with asyncio.timeout(START_SECONDS):
            # Polls, as a process tells no event.
            while not await self._is_serving():  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        assert self._process is not None
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        for upstream in self._upstreams:
            await upstream.stop()
        await self._store.stop()

    @property
    def peak_mebibytes(self) -> float:
        """Highest resident memory of the process."""
        return self._memory('VmHWM')

    @property
    def resident_mebibytes(self) -> float:
        """Resident memory of the process."""
        return self._memory('VmRSS')

    async def ask(self, load: Load) -> Answer:
        """Send a request on a new connection; return its answer."""
        self._numbers += 1
        caller = await Caller.connect_to(self._listener)
        name = f'm{self._numbers}'
        method = 'POST' if load.body else 'GET'
        target = f'/{"send" if load.body else "read"}/{load.answer}'
        length = (
            f'Content-Length: {load.body}'
            if not load.chunk
            else 'Transfer-Encoding: chunked'
        )
        head = (
            f'{method} {target} HTTP/1.1\r\nHost: music.example\r\n'
            f'Wardstair-Attempt-Id: {name}\r\n'
            f'Wardstair-Deadline-Ms: {ROUTE_MILLISECONDS}\r\n{length}\r\n\r\n'
        )
        sending = asyncio.ensure_future(self._send(caller, head, load))
        try:
            answer = await caller.answer()
        finally:
            sending.cancel()
            caller.close()
        if answer.status == 200:
            assert int(answer.headers['got']) == load.body
            assert len(answer.body) == load.answer
        return answer

    async def _send(self, caller: Caller, head: str, load: Load) -> None:
        writer = caller.writer
        try:
            writer.write(head.encode())
            left = load.body
            piece = load.chunk or MEBIBYTE
            while left:
                amount = min(piece, left)
                data = b'x' * amount
                if load.chunk:
                    data = b'%x\r\n%b\r\n' % (amount, data)
                writer.write(data)
                await writer.drain()
                left -= amount
            if load.chunk:
                writer.write(b'0\r\n\r\n')
        except ConnectionError:
            # Refused before the whole body was sent; the answer tells so.
            return

    async def _is_serving(self) -> bool:
        try:
            return (await self.ask(Load(answer=1))).status == 200
        except OSError:
            return False

    def _memory(self, name: str) -> float:
        assert self._process is not None
        status = Path(f'/proc/{self._process.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith(name):
                return int(line.split()[1]) / 1024
        raise AssertionError(status)

    def _settings(self, address: str, ports: list[int]) -> str:
        names = ('callers', 'ready', 'control', 'lookups', 'metrics')
        listen = '\n'.join(
            f'{name} = "{address}:{port}"'
            for name, port in zip(names, ports, strict=False)
        )
        return (
            f'name = "host-1"\naddress = "{address}"\nzone = "north-a"\n'
            f'fleet_ports = [{ports[5]}, {ports[5]}]\nseeds = []\n'
            f'first_start = true\nstore = "{ADDRESS}:{self._store.port}"\n'
            f'bounds = ["grace_s=5"]\n[limits]\n'
            f'memory_megabytes = {self._megabytes}\n'
            f'[listen]\n{listen}\n[zones]\n"north-a" = "north"\n'
        )


def _configuration() -> Stored:
    routes = {
        name: route_spec(f'/{name}/', kind, timeout_ms=ROUTE_MILLISECONDS)
        for name, kind in (('read', 'safe'), ('send', 'upload'))
    }
    spec = configuration_spec(1, **routes)
    limits = cast(dict[str, int], spec['limits'])
    limits['max_body_bytes'] = MAX_BODY_BYTES
    return spec
