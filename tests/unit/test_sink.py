"""Log lines while their reader is slow, stuck or gone."""

import asyncio
import os

from wardstair.gateway.reporting import LineRateLimit
from wardstair.process.sink import LineSink


def read_all(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    read = b''
    while True:
        try:
            piece = os.read(descriptor, 65536)
        except BlockingIOError:
            return read
        if not piece:
            return read
        read += piece


def test_a_reader_that_is_stuck_holds_nothing_up() -> None:
    reader, writer = os.pipe()
    lines = 20000

    async def main() -> None:
        sink = LineSink(writer, most=100)
        for number in range(lines):
            sink.write(f'event=line number={number}\n')
            if number % 500 == 0:
                await asyncio.sleep(0)
        assert sink.waiting <= 101
        assert sink.dropped > 0
        before = sink.dropped
        # The reader comes back: what waited arrives, then what is missing.
        read = read_all(reader)
        while sink.waiting:
            await asyncio.sleep(0.01)
            read += read_all(reader)
        read += read_all(reader)
        whole = read.splitlines()
        assert all(line.startswith(b'event=') for line in whole)
        told = [line for line in whole if b'log-lines-dropped' in line]
        counts = [int(line.rpartition(b'=')[2]) for line in told]
        assert sum(counts) == before
        assert len(whole) == lines - before + len(told)

    asyncio.run(main())
    os.close(reader)
    os.close(writer)


def test_a_reader_that_is_gone_ends_nothing() -> None:
    reader, writer = os.pipe()
    os.close(reader)

    async def main() -> None:
        sink = LineSink(writer)
        sink.write('event=line\n')
        await asyncio.sleep(0.01)
        sink.write('event=line\n')
        await asyncio.sleep(0.01)
        assert sink.waiting == 0
        assert sink.dropped == 2

    asyncio.run(main())
    os.close(writer)


def test_lines_are_thinned_by_request_id_above_a_rate() -> None:
    first, second = LineRateLimit(10), LineRateLimit(10)
    names = [f'r{number}' for number in range(400)]
    kept = []
    for pace in (first, second):
        for name in names:
            pace.keeps(name, 1.0)
        kept.append([name for name in names if pace.keeps(name, 2.0)])
    assert kept[0] == kept[1]
    assert 0 < len(kept[0]) <= 20
    # When it is quiet again every request has its line.
    assert all(first.keeps(f'q{number}', 9.0) for number in range(10))
