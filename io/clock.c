#include "clock.h"

#include <time.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000

static int64_t seemingly_ms; /* see cw_clock_suspend */

static int64_t read_ms(clockid_t id) {
    struct timespec now;
    clock_gettime(id, &now);
    return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

int64_t cw_clock_ms(void) {
    return read_ms(CLOCK_BOOTTIME) + seemingly_ms;
}

int64_t cw_clock_suspended_ms(void) {
    return read_ms(CLOCK_BOOTTIME) - read_ms(CLOCK_MONOTONIC) + seemingly_ms;
}

void cw_clock_suspend(int64_t ms) {
    seemingly_ms += ms;
}
