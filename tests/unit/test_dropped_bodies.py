"""When the body of a request may be dropped to make room for its answer."""

import pytest

from wardstair.gateway.messages import Inbound

BODY = b'body'


def make_inbound() -> Inbound:
    """Return a request that counts how often its body is dropped."""
    return Inbound(
        request_id='r1',
        method='POST',
        target='/read/x',
        path='/read/x',
        host='h.example',
        key=None,
        headers=(),
        body=BODY,
        received_at=0,
        seconds=1,
        on_dropped=lambda: None,
    )


@pytest.mark.parametrize(('sends', 'is_dropped'), [(1, True), (2, False)])
def test_a_body_is_kept_while_another_send_of_it_runs(
    sends: int, is_dropped: bool
) -> None:
    """A send that was still connecting went out with an empty body."""
    inbound = make_inbound()
    inbound.open_sends = sends
    inbound.drop_body()
    assert inbound.is_dropped is is_dropped
    assert inbound.body == (b'' if is_dropped else BODY)
    assert inbound.body_length == len(BODY)


def test_a_body_that_a_peer_may_need_is_kept() -> None:
    inbound = make_inbound()
    inbound.open_sends = 1
    inbound.on_dropped = None
    inbound.drop_body()
    assert inbound.body == BODY
