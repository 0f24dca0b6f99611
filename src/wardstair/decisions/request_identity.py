"""Identity of a request, which its retries share regardless of their ids.

The behaviour of an upstream depends on the bytes that it receives, so these
identify the request. The caller's address is excluded: it is not sent to
upstreams, and it changes for callers behind shared addresses. Cookies are
excluded because services reissue them between retries. Credentials stay the
same and identify the caller.
"""

from collections.abc import Iterable
from hashlib import blake2b

# Size of the digest. A cryptographic hash prevents a caller from producing the
# identity of another's request. With 8 bytes, the probability that any two of a
# million stored requests collide is 3e-8.
IDENTITY_BYTES = 8
# Headers that identify the caller to an upstream, in lower case for comparison.
CREDENTIALS = frozenset(('authorization', 'proxy-authorization'))


def identity_of(
    method: str,
    host: str,
    target: str,
    body: Iterable[bytes | bytearray],
    headers: tuple[tuple[str, str], ...] = (),
    organisation: str = '',
) -> str:
    """Return the identity of a request, the same for each of its retries.

    Args:
        method: HTTP method.
        host: Host name, lower case, without a port.
        target: Path and query, as sent.
        body: The segments of the whole body.
        headers: Headers that are forwarded to an upstream.
        organisation: Name of the organisation that is sent to the upstream;
            empty if none is sent.

    Returns:
        16 hexadecimal digits.
    """
    caller = [text for name, text in headers if name.lower() in CREDENTIALS]
    if organisation:
        caller.append(organisation)
    head = '\0'.join((method, host, target, *sorted(caller)))
    digest = blake2b(head.encode(), digest_size=IDENTITY_BYTES)
    digest.update(b'\0')
    for segment in body:
        digest.update(segment)
    return digest.hexdigest()
