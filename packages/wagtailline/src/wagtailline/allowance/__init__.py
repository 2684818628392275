"""Distributed token buckets: limits on client accounts over all daemons.

A plan divides the tokens of each limit among issuers, which are daemons at
endpoints that the published objects determine. An issuer generates its share
and grants tokens for a short time to borrowers, the daemons that admit calls.
It does so only while a majority of witnesses, other daemons, confirms its
lease, so that no two processes generate the same share. See section 3.5 of
the design page.
"""

from wagtailline.allowance._borrower import (
    REASON_EXHAUSTED,
    REASON_UNKNOWN,
    AllowanceRefusal,
)
from wagtailline.allowance._messages import ALLOWANCE_KINDS
from wagtailline.allowance._peers import MessageHandler, PeerRequests
from wagtailline.allowance._service import Allowance
from wagtailline.allowance._settings import (
    DEFAULT_SETTINGS,
    AllowanceSettings,
    Identity,
)

__all__ = (
    'ALLOWANCE_KINDS',
    'DEFAULT_SETTINGS',
    'REASON_EXHAUSTED',
    'REASON_UNKNOWN',
    'Allowance',
    'AllowanceRefusal',
    'AllowanceSettings',
    'Identity',
    'MessageHandler',
    'PeerRequests',
)
