#include "clock.h"

#include <time.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000

static int64_t simulated_ms; /* sum of the suspensions that cw_clock_simulate_suspend simulates */

static int64_t clock_get_ms(clockid_t id) {
    struct timespec now;
    clock_gettime(id, &now);
    return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

int64_t cw_clock_ms(void) {
    return clock_get_ms(CLOCK_BOOTTIME) + simulated_ms;
}

int64_t cw_clock_unix_ms(void) {
    return clock_get_ms(CLOCK_REALTIME);
}

int64_t cw_clock_suspended_ms(void) {
    return clock_get_ms(CLOCK_BOOTTIME) - clock_get_ms(CLOCK_MONOTONIC) + simulated_ms;
}

void cw_clock_simulate_suspend(int64_t ms) {
    simulated_ms += ms;
}
