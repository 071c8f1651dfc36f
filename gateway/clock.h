#ifndef CW_GATEWAY_CLOCK_H
#define CW_GATEWAY_CLOCK_H
#include "../io/clock.h"

/* Milliseconds of the clock that also counts while the host is suspended. */
static inline int64_t clock_ms(void) {
    return cw_clock_ms();
}

/* After a stall of the process, time in which what has arrived meanwhile is read. */
#define CLOCK_READ_LATE_MS 100

#endif
