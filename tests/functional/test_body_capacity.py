"""Long bodies and answers on hosts with little memory, as real processes."""

import asyncio
from pathlib import Path

import pytest
from lib.memory_load import MAX_BODY_BYTES, MEBIBYTE, Load, SmallHost

# Most memory of a host of 300 MiB for one body of the largest size.
ONE_BODY_MEBIBYTES = 250
LARGEST = Load(body=MAX_BODY_BYTES)
# Each wave of requests is sent at once, after the one before it is answered.
SERVED = {
    'largest body': [[LARGEST]],
    'bodies': [[Load(body=size * MEBIBYTE)] for size in (20, 40, 60, 64, 64)],
    'answers': [[Load(answer=size * MEBIBYTE)] for size in (20, 60, 64, 64)],
    'bodies at once': [[Load(body=24 * MEBIBYTE)] * 3, [LARGEST]],
    'answers at once': [[Load(answer=24 * MEBIBYTE)] * 3],
    'largest answers at once': [[Load(answer=MAX_BODY_BYTES)] * 2],
    'body and answer': [[Load(body=40 * MEBIBYTE, answer=40 * MEBIBYTE)]],
    'largest body and answer': [
        [Load(body=MAX_BODY_BYTES, answer=MAX_BODY_BYTES)]
    ],
    'chunks': [
        [Load(body=2 * MEBIBYTE, chunk=7)],
        [Load(body=MAX_BODY_BYTES, chunk=4000)],
    ],
}
TEST_SECONDS = 100


def play(folder: Path, megabytes: int, waves: list[list[Load]]) -> float:
    """Send all requests to a host; return its highest memory in MiB."""

    async def main() -> float:
        async with (
            asyncio.timeout(TEST_SECONDS),
            SmallHost(folder, megabytes) as host,
        ):
            for wave in waves:
                answers = await asyncio.gather(*map(host.ask, wave))
                assert {one.status for one in answers} == {200}, wave
            return host.peak_mebibytes

    return asyncio.run(main())


@pytest.mark.parametrize('name', SERVED)
def test_what_the_smallest_host_can_hold_is_served(
    tmp_path: Path, name: str
) -> None:
    """Bodies were copied up to five times, and long ones refused for good."""
    megabytes = 200
    assert play(tmp_path, megabytes, SERVED[name]) < megabytes


def test_a_body_beyond_the_memory_of_a_host_is_refused_at_once(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with (
            asyncio.timeout(TEST_SECONDS),
            SmallHost(tmp_path, 128) as host,
        ):
            before = host.peak_mebibytes
            answer = await host.ask(LARGEST)
            assert answer.status == 503
            assert float(answer.headers['retry-after']) < 0.5
            assert host.peak_mebibytes - before < 8

    asyncio.run(main())


def test_one_body_is_in_memory_once(tmp_path: Path) -> None:
    assert play(tmp_path, 300, [[LARGEST]]) < ONE_BODY_MEBIBYTES
