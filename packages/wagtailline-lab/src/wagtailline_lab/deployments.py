"""Example deployments and the object sets that describe them."""

from hashlib import blake2b
from typing import Any, NamedTuple


class Deployment(NamedTuple):
    """Names and sizes of a deployment.

    ``services`` maps a service to its number of endpoints, and
    ``client_accounts`` an account to the rate and burst of its limit.
    ``slots`` and ``connections`` apply to each endpoint.
    """

    name: str
    region: str
    data_centres: tuple[str, ...]
    services: dict[str, int]
    slots: int
    connections: int
    client_accounts: dict[str, tuple[float, int]]


FJORDPENN = Deployment(
    name='fjordpenn',
    region='oslo',
    data_centres=('osl1', 'osl2', 'osl3'),
    services={
        'status-desk': 3,
        'commissions': 3,
        'proof-storage': 3,
        'archive': 3,
    },
    slots=6,
    connections=120,
    client_accounts={
        'royal-court': (120, 60),
        'wedding-house': (80, 40),
        'studio-bergen': (60, 30),
        'studio-tromso': (20, 10),
        'funeral-home': (10, 9),
        'stationer': (10, 9),
        'courier': (8, 6),
        'walk-in': (5, 5),
    },
)
SHEEREEN = Deployment(
    name='sheereen',
    region='punjab',
    data_centres=('lhe1', 'lhe2', 'lyp1', 'mux1'),
    services={'catalogue': 5, 'lending': 4, 'library': 4, 'records': 4},
    slots=9,
    connections=130,
    client_accounts={
        'head-office': (200, 100),
        'ledgers': (120, 60),
        'lahore-mall': (60, 40),
        'faisalabad': (40, 20),
        'multan': (30, 20),
        'sukkur': (10, 8),
        'hyderabad': (10, 8),
        'larkana': (5, 5),
    },
)
DEPLOYMENTS = {
    deployment.name: deployment for deployment in (FJORDPENN, SHEEREEN)
}


def make_api_key(account: str) -> str:
    """Return the demonstration API key of a client account."""
    return f'demo-key-{account}'


def digest_key(key: str) -> str:
    """Return the digest of an API key as it is published."""
    return blake2b(key.encode(), digest_size=32).hexdigest()


def make_set(deployment: Deployment) -> dict[str, list[dict[str, Any]]]:
    """Return the object set of a deployment in its JSON form."""
    return {
        'data_centres': [
            {'name': name, 'region': deployment.region}
            for name in deployment.data_centres
        ],
        'services': [{'name': name} for name in deployment.services],
        'endpoints': _make_endpoints(deployment),
        'routes': [
            *(_make_route(name) for name in deployment.services),
            {
                'name': 'open-samples',
                'prefix': '/open',
                'service': next(iter(deployment.services)),
                'open': True,
                'limit': 'open-samples',
            },
        ],
        'client_accounts': [
            {'name': name, 'limit': name} for name in deployment.client_accounts
        ],
        'keys': [
            {
                'name': f'{name}-1',
                'client_account': name,
                'digest': digest_key(make_api_key(name)),
            }
            for name in deployment.client_accounts
        ],
        'limits': [
            *(
                {'name': name, 'rate': rate, 'burst': burst}
                for name, (rate, burst) in deployment.client_accounts.items()
            ),
            {'name': 'open-samples', 'rate': 20.0, 'burst': 20},
        ],
    }


def _make_endpoints(deployment: Deployment) -> list[dict[str, Any]]:
    centres = deployment.data_centres
    return [
        {
            'name': f'{service}-{centres[index % len(centres)]}-{index}',
            'service': service,
            'data_centre': centres[index % len(centres)],
            'slots': deployment.slots,
            'connections': deployment.connections,
        }
        for service, count in deployment.services.items()
        for index in range(count)
    ]


def _make_route(service: str) -> dict[str, Any]:
    return {
        'name': service,
        'prefix': f'/{service}',
        'service': service,
        'timeout_ms': 10_000,
    }
