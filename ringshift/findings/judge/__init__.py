"""From one time's course to findings: what happened, to whom, when, and on which records that rests."""

from ringshift.findings.judge.clocks import CLOCK_OFF as CLOCK_OFF
from ringshift.findings.judge.docket import AT_END as AT_END
from ringshift.findings.judge.endings import ENDINGS as ENDINGS
from ringshift.findings.judge.endings import After as After
from ringshift.findings.judge.endings import Close as Close
from ringshift.findings.judge.finding import Finding as Finding
from ringshift.findings.judge.finding import Loss as Loss
from ringshift.findings.judge.finding import Verdict as Verdict
from ringshift.findings.judge.finding import What as What
from ringshift.findings.judge.judging import Judge as Judge
