#ifndef CW_GATEWAY_CLOCK_H
#define CW_GATEWAY_CLOCK_H
#include <stdint.h>
#include <time.h>

/* Milliseconds on the monotonic clock. */
static inline int64_t clock_ms(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

#endif
