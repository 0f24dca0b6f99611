"""Client for the operators' listeners of entry hosts."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

QUERY_TIMEOUT_SECONDS = 5.0
ORDER_TIMEOUT_SECONDS = 20.0


@dataclass(frozen=True)
class HostAnswer:
    """The answer of one host.

    Attributes:
        host: Address of its operators' listener.
        status: HTTP status, or 599 if the host did not answer.
        content: The decoded JSON body, or a description of the failure.
    """

    host: str
    status: int
    content: Any

    @property
    def is_good(self) -> bool:
        """Whether the host answered with success."""
        return self.status == 200


class OperatorClient:
    """Sends queries and orders to entry hosts."""

    def __init__(self, hosts: list[str], token: str) -> None:
        """Create a client.

        Args:
            hosts: Addresses of operators' listeners, in order of preference.
            token: The operator's token, or empty.
        """
        self._hosts = hosts
        self._token = token

    def ask_all(self, path: str) -> list[HostAnswer]:
        """Query all hosts concurrently.

        Args:
            path: Path of the query.
        """
        return asyncio.run(self._query_all(path))

    def ask_first(self, path: str) -> HostAnswer:
        """Query the hosts in turn until one answers.

        Args:
            path: Path of the query.
        """
        return asyncio.run(self._send_to_first(path, None))

    def order(self, order: dict[str, Any]) -> HostAnswer:
        """Send an order to the hosts in turn until one answers.

        The idempotency key of the order makes it safe to send it to another
        host after one that did not answer.

        Args:
            order: The order as JSON values, with its key.
        """
        return asyncio.run(self._send_to_first('/v1/order', json.dumps(order)))

    async def _query_all(self, path: str) -> list[HostAnswer]:
        client = SimpleAsyncHTTPClient(force_instance=True, max_clients=64)
        try:
            answers = [self._send(client, host, path) for host in self._hosts]
            return list(await asyncio.gather(*answers))
        finally:
            client.close()

    async def _send_to_first(self, path: str, body: str | None) -> HostAnswer:
        client = SimpleAsyncHTTPClient(force_instance=True)
        answer = HostAnswer('', 599, 'no address given; use --hosts')
        try:
            for host in self._hosts:
                answer = await self._send(client, host, path, body)
                if answer.status != 599:
                    return answer
            return answer
        finally:
            client.close()

    async def _send(
        self,
        client: SimpleAsyncHTTPClient,
        host: str,
        path: str,
        body: str | None = None,
    ) -> HostAnswer:
        request = HTTPRequest(
            f'http://{host}{path}',
            method='GET' if body is None else 'POST',
            body=body,
            headers={'Authorization': f'Bearer {self._token}'},
            connect_timeout=QUERY_TIMEOUT_SECONDS,
            request_timeout=QUERY_TIMEOUT_SECONDS
            if body is None
            else ORDER_TIMEOUT_SECONDS,
        )
        try:
            response = await client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            return HostAnswer(host, 599, str(error))
        try:
            content = json.loads(response.body or b'null')
        except ValueError:
            content = response.reason
        return HostAnswer(host, response.code, content)
