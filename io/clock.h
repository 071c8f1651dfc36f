#ifndef CW_IO_CLOCK_H
#define CW_IO_CLOCK_H
/*
    The gateway's clock for every age and expiry: load reports, server lists, configuration, keys, leases,
    deadlines, retry windows, suspicions. It is CLOCK_BOOTTIME, which includes the time for which the machine
    was suspended. CLOCK_MONOTONIC, and therefore the event loop's timers, leave that time out: after a
    suspension of four seconds, all state would look four seconds younger than it is. Only this module reads
    CLOCK_BOOTTIME.
*/
#include <stdint.h>

/* Milliseconds since boot, suspended time included. */
int64_t cw_clock_ms(void);
/* Time of day, in Unix milliseconds: it may be set, and differs between hosts. Only for times that others state so. */
int64_t cw_clock_unix_ms(void);
/* Milliseconds for which the machine has been suspended since boot. */
int64_t cw_clock_suspended_ms(void);
/* For tests: simulates a suspension of ms by adding it to both values above; repeated calls add up. */
void cw_clock_simulate_suspend(int64_t ms);

#endif
