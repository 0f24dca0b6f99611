"""Creates and closes the process's curl client."""

from tornado.curl_httpclient import CurlAsyncHTTPClient


def make_client(transfers: int, body_bytes: int) -> CurlAsyncHTTPClient:
    """Return a client with its own connection pool.

    Args:
        transfers: Maximum of concurrent transfers; each has a libcurl handle.
        body_bytes: Maximum length of a response body.
    """
    return CurlAsyncHTTPClient(
        force_instance=True,
        max_clients=transfers,
        max_body_size=body_bytes,
    )


def close_client(client: CurlAsyncHTTPClient) -> None:
    """Close a client and cancel the timer that closing it may start.

    libcurl requests a timer while its handles close. tornado 6.6 would run it
    on the closed client and log a traceback.
    """
    client.close()
    timer = client._timeout  # noqa: SLF001
    if timer is not None:
        client.io_loop.remove_timeout(timer)
        client._timeout = None  # noqa: SLF001
