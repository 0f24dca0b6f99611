"""Measures the cost of control and fits it to the size of the fleet.

For each row of the table, the script runs a fleet of real entry hosts in one
process and the stand-ins in another. The cost of control is the difference to
the same hosts with control turned off. Writes a table and a plot to
docs/figures/.

    python bench/slopes.py            all fleets
    python bench/slopes.py quick      some smaller fleets
"""

import asyncio
import json
import subprocess
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from resource import RUSAGE_SELF, getpagesize, getrusage
from typing import Any

import numpy as np

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / 'tests'))
sys.path.insert(0, str(ROOT / 'bench'))

from lib.documents import small_document  # noqa: E402
from request_path import planned_table  # noqa: E402

from wardstair.process.log import configure_logging  # noqa: E402
from wardstair.process.orders import StartDrain, StopDrain  # noqa: E402
from wardstair.standins.deployment import Deployment  # noqa: E402
from wardstair.standins.platform import PlatformStandin  # noqa: E402
from wardstair.standins.upstream import UpstreamStandin  # noqa: E402
from wardstair.version.document import DrainModel, UpstreamModel  # noqa: E402
from wardstair.version.parts import pack_table, unpack_table  # noqa: E402

SETTLE_SECONDS = 4.0
MEASURE_SECONDS = 10.0
CHANGES = 12
UPSTREAMS_PER_HOST = 4
FIGURES = ROOT / 'docs' / 'figures'
FLEETS = [
    (1, 2),
    (1, 6),
    (1, 12),
    (1, 20),
    (4, 2),
    (8, 2),
    (16, 2),
    (24, 2),
    (3, 12),
    (3, 20),
    (6, 8),
]
QUICK = [(1, 2), (1, 6), (4, 2), (8, 2), (3, 6)]
PLAN_ZONES = 62
PLAN_HOSTS = 20


@dataclass(frozen=True)
class Row:
    """Measurements of one fleet.

    Attributes:
        zones: Zones of the fleet.
        hosts: Hosts in each zone.
        control: Whether control was on.
        cpu_percent: Processor time per host, in percent of a core.
        sent_bytes: Bytes sent per host and second.
        received_bytes: Bytes received per host and second.
        messages: Messages sent per host and second.
        platform_calls: Calls of the whole fleet to the platform per second.
        rss_kb: Resident memory of the whole fleet, in KB.
        change_median: Median time to adopt a change, in seconds.
        change_worst: Longest time to adopt a change, in seconds.
        change_cpu_ms: Processor time per change and host, in milliseconds.
    """

    zones: int
    hosts: int
    control: bool
    cpu_percent: float
    sent_bytes: float
    received_bytes: float
    messages: float
    platform_calls: float
    rss_kb: float
    change_median: float
    change_worst: float
    change_cpu_ms: float


class BenchFleet(Deployment):
    """A deployment whose stand-ins run in another process."""

    def __init__(self, zones: int, hosts: int, *, control: bool) -> None:
        """Prepare a fleet.

        Args:
            zones: Number of zones.
            hosts: Hosts in each zone.
            control: Whether to run the control tasks of the hosts.
        """
        names = tuple(f'r{zone // 3}-{zone}' for zone in range(zones))
        document = small_document(zones=names, hosts_a_zone=hosts)
        upstreams = tuple(
            UpstreamModel(
                name=f'up-{zone}-{number}',
                zone=zone,
                workload=('views', 'orders', 'uploads')[number % 3],
                address='127.0.0.1:1',
                slots=(9, 6, 3)[number % 3],
            )
            for zone in names
            for number in range(hosts * UPSTREAMS_PER_HOST)
        )
        super().__init__(
            document.model_copy(update={'upstreams': upstreams}),
            beat_seconds=1.0,
        )
        self.control = control

    async def prepare(self, info: dict[str, Any]) -> None:
        """Use the addresses of the stand-ins in the other process."""
        self.platform.port = info['platform']
        models = tuple(
            model.model_copy(update={'address': info['upstream']})
            for model in self.document.upstreams
        )
        self.document = self.document.model_copy(update={'upstreams': models})

    def is_steady(self) -> bool:
        """Return whether all hosts have the state of the fleet and tokens."""
        return self._is_ready()


async def run_standins() -> None:
    """Run the stand-ins and print their addresses.

    Then print the number of platform calls for each line of input.
    """
    platform = PlatformStandin()
    upstream = UpstreamStandin('bench', 9)
    platform.start()
    upstream.start()
    info = {'platform': platform.port, 'upstream': upstream.address}
    print(json.dumps(info), flush=True)
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, sys.stdin.readline):
        calls = platform.store.reads + platform.store.writes
        print(json.dumps(calls), flush=True)


class StandinProcess:
    """The process that runs the stand-ins."""

    def __init__(self) -> None:
        """Start the process and read the addresses of the stand-ins."""
        self.process = subprocess.Popen(
            [sys.executable, __file__, 'standins'],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        self.info = json.loads(self.process.stdout.readline())

    def calls(self) -> int:
        """Return the number of calls to the platform so far."""
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        self.process.stdin.write('\n')
        self.process.stdin.flush()
        return int(self.process.stdout.readline())


def cpu_seconds() -> float:
    """Return the processor time of this process, in seconds."""
    usage = getrusage(RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def resident_kb() -> float:
    """Return the resident memory of this process, in KB."""
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * getpagesize() / 1024


async def measure(zones: int, hosts: int, *, control: bool) -> Row:
    """Run one fleet and return its row."""
    configure_logging('ERROR')
    standin_process = StandinProcess()
    fleet = BenchFleet(zones, hosts, control=control)
    await fleet.prepare(standin_process.info)
    try:
        return await _measure(fleet, standin_process, zones, hosts)
    finally:
        standin_process.process.terminate()


async def _measure(
    fleet: BenchFleet,
    standin_process: StandinProcess,
    zones: int,
    hosts: int,
) -> Row:
    count = zones * hosts
    for model in fleet.document.hosts:
        await fleet.start_host(model, control=fleet.control)
    fleet.document = fleet.with_addresses()
    await fleet.apply()
    if fleet.control:
        await fleet.wait_until(fleet.is_steady, 120)
    else:
        for host in fleet.hosts.values():
            await host.configuration.load()
    await asyncio.sleep(SETTLE_SECONDS)
    sent, received, messages = _traffic(fleet)
    calls = standin_process.calls()
    cpu = cpu_seconds()
    await asyncio.sleep(MEASURE_SECONDS)
    cpu = cpu_seconds() - cpu
    calls = standin_process.calls() - calls
    sent_now, received_now, messages_now = _traffic(fleet)
    each = count * MEASURE_SECONDS
    rss = resident_kb()
    times, change_cpu = await _changes(fleet, cpu / MEASURE_SECONDS)
    row = Row(
        zones=zones,
        hosts=hosts,
        control=fleet.control,
        cpu_percent=round(cpu / each * 100, 4),
        sent_bytes=round((sent_now - sent) / each),
        received_bytes=round((received_now - received) / each),
        messages=round((messages_now - messages) / each, 2),
        platform_calls=round(calls / MEASURE_SECONDS, 2),
        rss_kb=round(rss),
        change_median=round(float(np.median(times)), 3) if times else 0,
        change_worst=round(max(times, default=0), 3),
        change_cpu_ms=round(change_cpu / count * 1000, 2),
    )
    for host in fleet.hosts.values():
        await host.stop()
    return row


def _traffic(fleet: BenchFleet) -> tuple[int, int, int]:
    links = [host.links for host in fleet.hosts.values()]
    return (
        sum(link.sent_bytes for link in links),
        sum(link.received_bytes for link in links),
        sum(link.sent.total() for link in links),
    )


async def _changes(
    fleet: BenchFleet,
    idle: float,
) -> tuple[list[float], float]:
    """Make changes and measure them.

    Args:
        fleet: The fleet to change.
        idle: Processor seconds per second that the fleet uses when idle.

    Returns:
        The time of each change and the mean processor time of a change
        beyond idle use, in seconds.
    """
    if not fleet.control:
        return [], 0
    drain = DrainModel(kind='upstream', name=fleet.document.upstreams[0].name)
    times = []
    started, cpu = time.monotonic(), cpu_seconds()
    for number in range(CHANGES):
        action = (
            StopDrain(verb='drain-stop', drain=drain)
            if number % 2
            else StartDrain(verb='drain-start', drain=drain)
        )
        ordered_at = time.monotonic()
        version = await fleet.order(action)
        await fleet.wait_version(version)
        times.append(time.monotonic() - ordered_at)
        await asyncio.sleep(0.2)
    spent = cpu_seconds() - cpu - idle * (time.monotonic() - started)
    return times, spent / CHANGES


def run_row(zones: int, hosts: int, *, control: bool) -> Row:
    """Measure one fleet in a fresh process."""
    arguments = ['fleet', str(zones), str(hosts), 'on' if control else 'off']
    done = subprocess.run(
        [sys.executable, __file__, *arguments],
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    return Row(**json.loads(done.stdout.splitlines()[-1]))


@dataclass(frozen=True)
class Fit:
    """A linear fit of a cost to hosts per zone and zones."""

    name: str
    unit: str
    base: float
    per_host: float
    per_zone: float
    worst_residual: float
    largest_measured: float

    @property
    def at_plan(self) -> float:
        """The cost at the planned size."""
        hosts = self.per_host * PLAN_HOSTS
        return self.base + hosts + self.per_zone * PLAN_ZONES


def fit(name: str, unit: str, rows: list[Row], values: list[float]) -> Fit:
    """Fit a cost to hosts per zone and zones by least squares."""
    sizes = np.array([[1, row.hosts, row.zones] for row in rows], float)
    costs = np.array(values, float)
    found, *_ = np.linalg.lstsq(sizes, costs, rcond=None)
    residual = float(np.max(np.abs(sizes @ found - costs)))
    base, per_host, per_zone = (float(number) for number in found)
    most = float(costs.max())
    return Fit(name, unit, base, per_host, per_zone, residual, most)


def table_costs() -> list[str]:
    """Return a table of the costs of block tables of several sizes."""
    lines = ['blocks  look-up us  table MB  parts  parts MB  rebuild ms']
    random = Random(1)
    for blocks in (70_000, 275_000, 1_100_000):
        table = planned_table(blocks, 1)
        addresses = [random.randrange(1 << 32) for _ in range(200_000)]
        started = time.perf_counter()
        for address in addresses:
            table.find_site(address)
        micros = (time.perf_counter() - started) / len(addresses) * 1e6
        parts = list(pack_table(table))
        started = time.perf_counter()
        unpack_table(iter(parts))
        rebuild = (time.perf_counter() - started) * 1000
        size = sum(len(part) for part in parts) / 1e6
        lines.append(
            f'{blocks}  {micros:.2f}  {blocks * 5 / 1e6:.1f}  {len(parts)}  '
            f'{size:.2f}  {rebuild:.1f}',
        )
    return lines


def main(sizes: list[tuple[int, int]]) -> None:
    """Measure the fleets, fit the costs and write the results."""
    rows = []
    for zones, hosts in sizes:
        on = run_row(zones, hosts, control=True)
        off = run_row(zones, hosts, control=False)
        rows.append((on, off))
        print(on, off.rss_kb, off.cpu_percent, flush=True)
    ons = [on for on, _ in rows]
    memory = [
        (on.rss_kb - off.rss_kb) / (on.zones * on.hosts) for on, off in rows
    ]
    fits = [
        fit(
            'processor',
            '% of a core',
            ons,
            [on.cpu_percent - off.cpu_percent for on, off in rows],
        ),
        fit('sent', 'B/s', ons, [on.sent_bytes for on in ons]),
        fit('received', 'B/s', ons, [on.received_bytes for on in ons]),
        fit('messages', '/s', ons, [on.messages for on in ons]),
        fit('memory', 'KB', ons, memory),
        fit('change, processor', 'ms', ons, [on.change_cpu_ms for on in ons]),
        fit('change, worst', 's', ons, [on.change_worst for on in ons]),
    ]
    write(ons, memory, fits)


def write(rows: list[Row], memory: list[float], fits: list[Fit]) -> None:
    """Write the table and the plot."""
    FIGURES.mkdir(parents=True, exist_ok=True)
    lines = ['# Slopes of control, as measured', '']
    lines += _table(
        [*asdict(rows[0]), 'memory_kb_a_host'],
        [
            [*asdict(row).values(), round(kilobytes)]
            for row, kilobytes in zip(rows, memory, strict=True)
        ],
    )
    lines += ['', '## Fits', '']
    lines += _table(
        [
            'cost',
            'unit',
            'base',
            'per host of the zone',
            'per zone',
            'worst residual',
            'largest measured',
            f'at {PLAN_HOSTS} hosts a zone, {PLAN_ZONES} zones',
        ],
        [
            [
                one.name,
                one.unit,
                f'{one.base:.4g}',
                f'{one.per_host:.4g}',
                f'{one.per_zone:.4g}',
                f'{one.worst_residual:.3g}',
                f'{one.largest_measured:.4g}',
                f'{one.at_plan:.4g}',
            ]
            for one in fits
        ],
    )
    lines += ['', '## Block table', '', '```', *table_costs(), '```', '']
    text = '\n'.join(lines)
    (FIGURES / 'slopes.md').write_text(text, encoding='utf-8')
    print(text)
    plot(rows, fits)


def _table(head: list[str], rows: list[list[Any]]) -> list[str]:
    lines = [' | '.join(head), ' | '.join('---' for _ in head)]
    lines += [' | '.join(map(str, row)) for row in rows]
    return [f'| {line} |' for line in lines]


def plot(rows: list[Row], fits: list[Fit]) -> None:
    """Plot measured against fitted costs for the first two fits."""
    import matplotlib as mpl  # noqa: PLC0415

    mpl.use('Agg')
    from matplotlib import pyplot as plt  # noqa: PLC0415

    values = [
        [row.cpu_percent for row in rows],
        [row.sent_bytes for row in rows],
    ]
    figure, axes = plt.subplots(1, 2, figsize=(10, 4))
    for axis, one, measured in zip(axes, fits, values, strict=False):
        fitted = [
            one.base + one.per_host * row.hosts + one.per_zone * row.zones
            for row in rows
        ]
        axis.scatter(fitted, measured)
        axis.axline((0, 0), slope=1, linewidth=0.5)
        axis.scatter([one.at_plan], [one.at_plan], marker='x')
        axis.set_xlabel(f'fitted {one.name}, {one.unit}; x is the plan')
        axis.set_ylabel('measured')
    figure.tight_layout()
    figure.savefig(FIGURES / 'slopes.png', dpi=100)


if __name__ == '__main__':
    match sys.argv[1:]:
        case ['standins']:
            asyncio.run(run_standins())
        case ['fleet', zones, hosts, control]:
            found = asyncio.run(
                measure(int(zones), int(hosts), control=control == 'on'),
            )
            print(json.dumps(asdict(found)))
        case ['quick']:
            main(QUICK)
        case _:
            main(FLEETS)
