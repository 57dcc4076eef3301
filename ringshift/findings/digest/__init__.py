"""One run's records as what matters of them: spells of trouble, its service over time, what ties its clock.

A digest takes records one by one, in the order of `seq`, keeps none, and its size is bounded whatever they
hold. All times are the run's own `up`.
"""

from ringshift.findings.digest.digester import Digester as Digester
from ringshift.findings.digest.words import AGAIN as AGAIN
from ringshift.findings.digest.words import ARRIVED as ARRIVED
from ringshift.findings.digest.words import COUNTS as COUNTS
from ringshift.findings.digest.words import ERRORED as ERRORED
from ringshift.findings.digest.words import GONE as GONE
from ringshift.findings.digest.words import LAG as LAG
from ringshift.findings.digest.words import LIMIT as LIMIT
from ringshift.findings.digest.words import MOST_BUCKETS as MOST_BUCKETS
from ringshift.findings.digest.words import PRESSURE as PRESSURE
from ringshift.findings.digest.words import RAN as RAN
from ringshift.findings.digest.words import RAN_MS as RAN_MS
from ringshift.findings.digest.words import RUNNING as RUNNING
from ringshift.findings.digest.words import SECONDS as SECONDS
from ringshift.findings.digest.words import SERVER_FIGURES as SERVER_FIGURES
from ringshift.findings.digest.words import SUCCEEDED as SUCCEEDED
from ringshift.findings.digest.words import THROTTLED as THROTTLED
from ringshift.findings.digest.words import WIDTHS as WIDTHS
from ringshift.findings.digest.words import Digest as Digest
