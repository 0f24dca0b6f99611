"""Sample specs of objects in the platform's store."""

ADDRESS = '127.0.0.1'
Stored = dict[str, object]


def upstream_spec(
    port: int,
    service: str = 'views',
    zone: str = 'north-a',
    **status: object,
) -> Stored:
    """Return the spec by which an upstream registers."""
    return {
        'address': f'{ADDRESS}:{port}',
        'info': {'service': service, 'version': 'v1', 'zone': zone, 'slots': 4},
        'status': {
            'state': 'ready',
            'call_seq': 1,
            'cold_left_ms': 0,
            **status,
        },
    }


def route_spec(prefix: str, kind: str, **fields: object) -> Stored:
    """Return a route of the configuration."""
    return {
        'host': 'music.example',
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 2000,
        'target_latency_ms': 500,
        'priority': 1,
        'service': 'views',
        'max_attempts': 2,
        'sticky': True,
        'allowed_regions': [],
        **fields,
    }


def configuration_spec(version: int, **routes: Stored) -> Stored:
    """Return a configuration, by default with one route of each kind."""
    service = {'health_path': '/healthz', 'max_conns': 100, 'cold_start_s': 3.0}
    service['cold_per_s'] = 10.0
    return {
        'version': f'{version:08x}',
        'routes': routes
        or {
            'read': route_spec('/read/', 'safe'),
            'order': route_spec('/order/', 'unsafe'),
            'send': route_spec('/send/', 'upload'),
        },
        'services': {'views': service, 'orders': service},
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }
