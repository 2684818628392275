"""HTTP ingress: turns HTTP requests into calls to upstreams."""

from wagtailline_daemon.ingress._allowance import IngressAllowance
from wagtailline_daemon.ingress._handler import (
    AllowanceRefusal,
    Ingress,
    IngressProtocol,
    IngressResources,
    ingress_config,
)
from wagtailline_daemon.ingress._headers import digest_key

__all__ = (
    'AllowanceRefusal',
    'Ingress',
    'IngressAllowance',
    'IngressProtocol',
    'IngressResources',
    'digest_key',
    'ingress_config',
)
