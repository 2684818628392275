"""Generated object sets of any size for tests and benchmarks."""

from collections.abc import Iterator

from wagtailline.objects import (
    ClientAccount,
    DataCentre,
    Endpoint,
    Key,
    Limit,
    ObjectId,
    PublishedObject,
    Route,
    Service,
    object_id,
)


def make_objects(
    endpoints: int, services: int, data_centres: int, accounts: int = 8
) -> dict[ObjectId, PublishedObject]:
    """Return a valid set, its endpoints spread evenly over data centres."""
    return {
        object_id(published): published
        for published in _generate_objects(
            endpoints, services, data_centres, accounts
        )
    }


def _generate_objects(
    endpoints: int, services: int, data_centres: int, accounts: int
) -> Iterator[PublishedObject]:
    for data_centre in range(data_centres):
        yield DataCentre(f'dc{data_centre}', f'region{data_centre % 3}')
    for service in range(services):
        yield Service(f'service{service}')
        yield Route(f'route{service}', f'/s{service}', f'service{service}')
    for account in range(accounts):
        yield Limit(f'limit{account}', 50.0 + account, 20)
        yield ClientAccount(f'account{account}', f'limit{account}')
        yield Key(f'key{account}', f'account{account}', f'{account:064x}')
    for endpoint in range(endpoints):
        endpoint_data_centre = endpoint % data_centres
        yield Endpoint(
            f'endpoint{endpoint}.dc{endpoint_data_centre}',
            f'service{endpoint // data_centres % services}',
            f'dc{endpoint_data_centre}',
            slots=6,
            connections=120,
        )
