#ifndef CW_IO_CLOCK_H
#define CW_IO_CLOCK_H
/*
    The clock by which everything ages: news, lists, configuration, keys, leases, deadlines, retry windows, suspicions.
   It counts the time for which the machine was suspended, which the monotonic clock, and so the loop's timers, leave
   out: by that one a host that slept for four seconds would take all that it knows to be four seconds younger than it
   is. This file alone reads it.
*/
#include <stdint.h>

/* Milliseconds, suspended time included. */
int64_t cw_clock_ms(void);
/* Milliseconds for which the machine was suspended, since it was started. */
int64_t cw_clock_suspended_ms(void);
/* For tests: from now on the machine seems to have been suspended for so much longer. */
void cw_clock_suspend(int64_t ms);

#endif
