"""Over which times is measured; what is measured are sums that decay."""

from ringshift.decaying_sum import DecayingSum as DecayingSum

MS, S, HOUR = 10**6, 10**9, 3600 * 10**9
BEAT = 50 * MS  # how often an idle instance looks at its gauges and alarms; well under any answer's slack
MEMORY = 8 * S  # how long measurements count: several windows, yet shorter than the troubles they must follow
RECENT = 4 * S  # calls and runs that are judged by majority: two cores end some three a second
HEARD = 8  # calls, or runs in a warm-up window, too few to judge by
