"""Distribution of published configuration from the source to all processes.

A few elected readers in each data centre read the source and send each new
version down a tree of peers. Gossip between random peers repairs losses.
"""

from wagtailline.distribution._readiness import NotConfirmed
from wagtailline.distribution._report import DataCentreReport, FleetReport
from wagtailline.distribution._service import Distribution
from wagtailline.distribution._versions import (
    ChainBroken,
    VersionForked,
    VersionNotNewer,
    VersionRefusal,
    VersionRejected,
)
from wagtailline.distribution.messages import (
    DISTRIBUTION_KINDS,
    KeptOut,
    Laggard,
    VersionName,
)
from wagtailline.distribution.settings import DistributionSettings

__all__ = (
    'DISTRIBUTION_KINDS',
    'ChainBroken',
    'DataCentreReport',
    'Distribution',
    'DistributionSettings',
    'FleetReport',
    'KeptOut',
    'Laggard',
    'NotConfirmed',
    'VersionForked',
    'VersionName',
    'VersionNotNewer',
    'VersionRefusal',
    'VersionRejected',
)
