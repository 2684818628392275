"""Rate and burst of client accounts over the whole fleet.

Issuers at fixed positions generate tokens and lease them to borrowers, the
daemons that admit calls. See section 3.5 of the design page.
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
