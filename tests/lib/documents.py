"""Small steering configurations for tests."""

from typing import Any

from wardstair.version.document import SteeringDocument, check_document

ADDRESS = '127.0.0.1:1'


def small_document(
    zones: tuple[str, ...] = ('west-a',),
    hosts_a_zone: int = 2,
    slots: int = 3,
    idle_seconds: float = 60,
    **changes: Any,
) -> SteeringDocument:
    """Return a configuration with one upstream per workload and zone.

    Args:
        zones: Names of the zones; the part before the dash is the region.
        hosts_a_zone: Entry hosts in each zone.
        slots: Slots of each upstream.
        idle_seconds: Seconds without progress after which an upload ends.
        changes: Top-level tables that replace the default ones.
    """
    regions = sorted({zone.split('-')[0] for zone in zones})
    content: dict[str, Any] = {
        'deployment': 'test',
        'lookup_ttl_seconds': 1,
        'regions': [{'name': region} for region in regions],
        'zones': [
            {'name': zone, 'region': zone.split('-')[0]} for zone in zones
        ],
        'hosts': [
            {
                'name': f'{zone}-{number}',
                'zone': zone,
                'callers': ADDRESS,
                'peers': ADDRESS,
                'forward': ADDRESS,
                'operators': ADDRESS,
            }
            for zone in zones
            for number in range(1, hosts_a_zone + 1)
        ],
        'workloads': [
            {
                'name': 'views',
                'importance': 2,
                'deadline_seconds': 5,
                'routes': [
                    {
                        'methods': ['GET', 'HEAD'],
                        'prefix': '/parts/',
                        'repeat': 'repeatable',
                    },
                ],
            },
            {
                'name': 'orders',
                'importance': 8,
                'deadline_seconds': 5,
                'routes': [
                    {
                        'methods': ['POST'],
                        'prefix': '/orders',
                        'repeat': 'once',
                    },
                ],
            },
            {
                'name': 'uploads',
                'importance': 7,
                'idle_seconds': idle_seconds,
                'routes': [
                    {
                        'methods': ['PUT'],
                        'prefix': '/uploads/',
                        'repeat': 'repeatable',
                    },
                ],
            },
        ],
        'upstreams': [
            {
                'name': f'{workload}-{zone}',
                'zone': zone,
                'workload': workload,
                'address': ADDRESS,
                'slots': slots,
            }
            for workload in ('views', 'orders', 'uploads')
            for zone in zones
        ],
        'sites': [
            {'name': f'{region}-site', 'region': region} for region in regions
        ],
    }
    content.update(changes)
    return check_document(content, 'test').unwrap()
