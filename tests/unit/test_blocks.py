"""The table of address blocks, compared with a linear search."""

from ipaddress import IPv4Network

from hypothesis import given, settings
from hypothesis import strategies as st

from wardstair.decisions.blocks import NO_SITE, Block, build_table
from wardstair.version.parts import pack_table, unpack_table

NETWORKS = st.builds(
    lambda address, length: IPv4Network((address, length), strict=False),
    st.integers(0, 2**32 - 1),
    st.integers(0, 32),
)


def naive_site(blocks: list[Block], address: int) -> int:
    """Return the site of the longest prefix that contains the address."""
    containing = [
        block
        for block in blocks
        if int(block.network.network_address)
        <= address
        <= int(block.network.broadcast_address)
    ]
    if not containing:
        return NO_SITE
    return max(containing, key=lambda block: block.network.prefixlen).site


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.dictionaries(NETWORKS, st.integers(0, 254), max_size=12),
    st.lists(st.integers(0, 2**32 - 1), max_size=10),
)
def test_agrees_with_naive(
    networks: dict[IPv4Network, int],
    addresses: list[int],
) -> None:
    blocks = [Block(network, site) for network, site in networks.items()]
    table = build_table(blocks)
    edges = [
        int(edge) + step
        for network in networks
        for edge in (network.network_address, network.broadcast_address)
        for step in (-1, 0, 1)
        if 0 <= int(edge) + step < 2**32
    ]
    for address in [*addresses, *edges]:
        assert table.find_site(address) == naive_site(blocks, address)


@settings(max_examples=20, deadline=None, derandomize=True)
@given(st.integers(0, 40000), st.integers(1, 39999))
def test_a_changed_block_changes_few_parts(rows: int, changed: int) -> None:
    blocks = [
        Block(IPv4Network((number << 8, 24)), number % 200)
        for number in range(rows)
    ]
    table = build_table(blocks)
    parts = list(pack_table(table))
    back = unpack_table(iter(parts))
    assert (back.starts, back.sites) == (table.starts, table.sites)
    if changed >= rows:
        return
    blocks.pop(changed)
    others = list(pack_table(build_table(blocks)))
    assert len(set(others) - set(parts)) <= 2
