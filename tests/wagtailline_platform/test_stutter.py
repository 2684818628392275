"""Trial of real daemons beside upstreams that answer twice."""

import pytest
from _stutter import KINDS, Trial

SEED = 40
SECONDS = 2.0
VMS = 2


# Guards against answers of other requests, and answers that are not whole,
# from upstreams that answer twice, the second time late (MIXED).
@pytest.mark.parametrize('kind', ['', *KINDS])
async def test_no_client_gets_an_answer_that_is_not_its_own(kind, tmp_path):
    trial = Trial(tmp_path, kind, SEED)
    await trial.run(VMS, SECONDS)
    assert not trial.wrong
    assert trial.counts[200]
