#ifndef CW_GATEWAY_CLOCK_H
#define CW_GATEWAY_CLOCK_H
#include "../io/clock.h"

/* Milliseconds on the clock that counts suspended time. */
static inline int64_t clock_ms(void) {
    return cw_clock_ms();
}

#endif
