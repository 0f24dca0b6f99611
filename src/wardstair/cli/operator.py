"""Client of the operators' listeners of entry hosts."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

ASK_SECONDS = 5.0
ORDER_SECONDS = 20.0


@dataclass(frozen=True)
class HostAnswer:
    """What one host answered.

    Attributes:
        host: Address of its operators' listener.
        status: HTTP status, or 599 if it did not answer.
        content: The JSON value, or a text that says what went wrong.
    """

    host: str
    status: int
    content: Any

    @property
    def is_good(self) -> bool:
        """Whether the host answered the question."""
        return self.status == 200


class OperatorClient:
    """Asks and orders through entry hosts."""

    def __init__(self, hosts: list[str], token: str) -> None:
        """Prepare a client.

        Args:
            hosts: Addresses of operators' listeners, by preference.
            token: The operator's token, or empty.
        """
        self._hosts = hosts
        self._token = token

    def ask_all(self, path: str) -> list[HostAnswer]:
        """Ask all hosts at once."""
        return asyncio.run(self._ask_all(path))

    def ask_first(self, path: str) -> HostAnswer:
        """Ask the hosts in turn until one answers."""
        return asyncio.run(self._first(path, None))

    def order(self, order: dict[str, Any]) -> HostAnswer:
        """Give an order through the first host that answers.

        The order's key makes it safe to give it again through another host
        after one that did not answer.
        """
        return asyncio.run(self._first('/v1/order', json.dumps(order)))

    async def _ask_all(self, path: str) -> list[HostAnswer]:
        client = SimpleAsyncHTTPClient(force_instance=True, max_clients=64)
        try:
            asked = [self._ask(client, host, path) for host in self._hosts]
            return list(await asyncio.gather(*asked))
        finally:
            client.close()

    async def _first(self, path: str, body: str | None) -> HostAnswer:
        client = SimpleAsyncHTTPClient(force_instance=True)
        answer = HostAnswer('', 599, 'no host is named; use --hosts')
        try:
            for host in self._hosts:
                answer = await self._ask(client, host, path, body)
                if answer.status != 599:
                    return answer
            return answer
        finally:
            client.close()

    async def _ask(
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
            connect_timeout=ASK_SECONDS,
            request_timeout=ASK_SECONDS if body is None else ORDER_SECONDS,
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
