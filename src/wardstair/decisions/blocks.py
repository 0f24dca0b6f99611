"""Look-up of the site that a client block belongs to.

The table is two parallel arrays: the first address of each block and the
number of its site. Addresses between two blocks belong to no site. At 1.1
million blocks the arrays take 5.5 MB.
"""

from array import array
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field
from ipaddress import IPv4Address, IPv4Network

NO_SITE = 255
_ADDRESS_END = 1 << 32


@dataclass(frozen=True)
class Block:
    """A range of caller addresses that is steered as one.

    Attributes:
        network: The IPv4 network of the block.
        site: Number of the site it belongs to, 0 to 254.
    """

    network: IPv4Network
    site: int


@dataclass
class BlockTable:
    """Sorted block starts with the site of each.

    Attributes:
        starts: First addresses, ascending, as unsigned 32-bit numbers.
        sites: Site number for the range that begins at the same index.
    """

    starts: 'array[int]' = field(default_factory=lambda: array('I', [0]))
    sites: 'array[int]' = field(default_factory=lambda: array('B', [NO_SITE]))

    @property
    def size(self) -> int:
        """Number of ranges, gaps included."""
        return len(self.starts)

    def find_site(self, address: IPv4Address | int) -> int:
        """Return the site of an address, or NO_SITE.

        Args:
            address: The caller's IPv4 address, or its number.
        """
        return self.sites[bisect_right(self.starts, int(address)) - 1]


def build_table(blocks: Iterable[Block]) -> BlockTable:
    """Build the table from blocks in any order.

    Args:
        blocks: Blocks that do not overlap; where they do, the one with the
            longer prefix wins inside its own range.

    Returns:
        The table, with gap rows where no block covers an address.
    """
    ordered = sorted(
        blocks,
        key=lambda block: (
            int(block.network.network_address),
            block.network.prefixlen,
        ),
    )
    table = BlockTable()
    enclosing: list[tuple[int, int]] = []
    for block in ordered:
        start = int(block.network.network_address)
        _close_until(table, enclosing, start)
        _append(table, start, block.site)
        enclosing.append((start + block.network.num_addresses, block.site))
    _close_until(table, enclosing, _ADDRESS_END)
    return table


def _close_until(
    table: BlockTable,
    enclosing: list[tuple[int, int]],
    address: int,
) -> None:
    while enclosing and enclosing[-1][0] <= address:
        end, _ = enclosing.pop()
        if end == _ADDRESS_END:
            continue
        outer = enclosing[-1][1] if enclosing else NO_SITE
        _append(table, end, outer)


def _append(table: BlockTable, start: int, site: int) -> None:
    if table.starts[-1] == start:
        table.sites[-1] = site
        return
    table.starts.append(start)
    table.sites.append(site)
