#ifndef CW_GATEWAY_POLL_TIME_H
#define CW_GATEWAY_POLL_TIME_H
/*
    When the loop polled for events. What is read from a socket now, be it data or the end of a connection, arrived
   after the previous poll, which would have reported it. A poll that a signal interrupts reports nothing, so the one
   before it counts. After the process stood still, or the machine was suspended, what has arrived meanwhile is read
   over several iterations, and for CLOCK_READ_LATE_MS counts as if it had arrived since the last poll before.
*/
#include <ev.h>
#include <stdint.h>

#define POLL_TIMES 3

typedef struct poll_time_t {
    struct ev_loop* loop;
    ev_check check;
    int64_t times_ms[POLL_TIMES]; /* of the last polls, the latest first */
    int64_t before_gap_ms;        /* bound when the process last stood still */
    int64_t after_gap_ms;         /* when it went on; 0: never */
} poll_time_t;

/* Doesn't keep the loop running. */
void poll_time_setup(poll_time_t* p, struct ev_loop* loop);
void poll_time_shutdown(poll_time_t* p);
/* A socket that is read now, and was drained whenever it was read, had nothing to read at this time. */
int64_t poll_time_before_ms(const poll_time_t* p);

#endif
