"""Notices of upstreams that travel with requests between entry hosts.

The first host passes the answer on to its caller, so it has to comply with the
notice in it, although a peer has received that answer.
"""

from collections.abc import Iterable

from wardstair.fleet.peer_requests import PeerNotice
from wardstair.process.log import log_event
from wardstair.state.local_state import LocalState
from wardstair.state.upstream import Upstream


def collect_notices(
    local_state: LocalState,
    names: Iterable[str],
) -> tuple[PeerNotice, ...]:
    """Return the notices of some upstreams to this host.

    Args:
        local_state: State known to this host.
        names: Names of the upstreams.
    """
    if local_state.notices.is_idle:
        return ()
    known = local_state.catalog.upstreams
    found = [
        _notice_of(local_state, known[name])
        for name in dict.fromkeys(names)
        if name in known
    ]
    return tuple(one for one in found if one.is_leaving or one.pause)


def apply_notices(
    local_state: LocalState,
    notices: Iterable[PeerNotice],
    host: str,
) -> None:
    """Comply with notices that a peer has received.

    Args:
        local_state: State known to this host.
        notices: The notices.
        host: Name of the peer.
    """
    for one in notices:
        upstream = local_state.catalog.upstreams.get(one.upstream)
        # The peer may have read the entry of a newer incarnation earlier.
        if upstream is None or upstream.entry.born > one.born:
            log_event('peer-notice-ignored', upstream=one.upstream, host=host)
            continue
        if one.is_leaving:
            local_state.notices.note_leaving(upstream)
        if one.pause:
            local_state.notices.note_pause(upstream, one.pause)


def _notice_of(local_state: LocalState, upstream: Upstream) -> PeerNotice:
    notice = local_state.notices.notice_of(upstream)
    return PeerNotice(
        upstream.name,
        upstream.entry.born,
        notice.leaving_since is not None,
        max(0.0, notice.paused_until - local_state.notices.clock()),
    )
