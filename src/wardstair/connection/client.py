"""The process's curl client, with what tornado leaves open put right."""

from tornado.curl_httpclient import CurlAsyncHTTPClient


def make_client(transfers: int, body_bytes: int) -> CurlAsyncHTTPClient:
    """Return a client of its own connections.

    Args:
        transfers: Most transfers at once; each keeps a handle of libcurl.
        body_bytes: Longest answer that is taken.
    """
    return CurlAsyncHTTPClient(
        force_instance=True,
        max_clients=transfers,
        max_body_size=body_bytes,
    )


def close_client(client: CurlAsyncHTTPClient) -> None:
    """Close a client and the timer that closing it may set.

    libcurl asks for a timer while its handles close; tornado 6.6 would run
    it on the closed client and log a traceback.
    """
    client.close()
    timer = client._timeout  # noqa: SLF001
    if timer is not None:
        client.io_loop.remove_timeout(timer)
        client._timeout = None  # noqa: SLF001
