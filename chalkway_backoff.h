#ifndef CHALKWAY_BACKOFF_H
#define CHALKWAY_BACKOFF_H
/*
    chalkway_backoff.h -- backoff that a server requested from this host

    WHAT IT IS
        The time until which this host sends no requests to a server that
        asked it to back off (Retry-After), and the slow start after it:
        otherwise all requests that waited for the end of the backoff would
        arrive at once, and the server would ask for another one.

        A backoff is never shortened: a response that asks for less may be an
        older one that was overtaken.

    HOW TO USE IT
            cw_backoff_t backoff = {0};
            cw_backoff_start(&backoff, now_ms, 3000);
            if (!cw_backoff_wait_ms(&backoff, now_ms)) {
                cw_backoff_on_send(&backoff, now_ms);       // and send
            }

    WHAT IT DOES NOT DO
        It does not extend to other hosts: the server asks each one itself.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_limit.h"

/* All zero: no backoff was requested. */
typedef struct cw_backoff_t {
    int64_t until_ms;
    cw_bucket_t ramp; /* rate limit of the slow start */
} cw_backoff_t;

/* Starts a backoff of ms from now, unless the present one ends later. */
void cw_backoff_start(cw_backoff_t* b, int64_t now_ms, uint32_t ms);
/* Time until a request may be sent to the server, 0: now. */
uint32_t cw_backoff_wait_ms(const cw_backoff_t* b, int64_t now_ms);
/* Records that a request is sent to the server. */
void cw_backoff_on_send(cw_backoff_t* b, int64_t now_ms);

#endif /* CHALKWAY_BACKOFF_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_BACKOFF_IMPL_INCLUDED
#define CHALKWAY_BACKOFF_IMPL_INCLUDED

#define _CW_BACKOFF_SLOW_START_MS 1000    /* duration of the slow start */
#define _CW_BACKOFF_SLOW_START_PER_S 20.0 /* requests per second during the slow start */

void cw_backoff_start(cw_backoff_t* b, int64_t now_ms, uint32_t ms) {
    if (now_ms + ms <= b->until_ms) {
        return;
    }
    b->until_ms = now_ms + ms;
    b->ramp = (cw_bucket_t){
        .rate = _CW_BACKOFF_SLOW_START_PER_S, .burst = 1, .tokens = 1, .at_ms = b->until_ms, .started = true};
}

uint32_t cw_backoff_wait_ms(const cw_backoff_t* b, int64_t now_ms) {
    if (now_ms < b->until_ms) {
        return (uint32_t)(b->until_ms - now_ms);
    }
    bool is_slow_start = b->until_ms && now_ms - b->until_ms < _CW_BACKOFF_SLOW_START_MS;
    return is_slow_start ? cw_bucket_wait_ms(&b->ramp, now_ms, 1) : 0;
}

void cw_backoff_on_send(cw_backoff_t* b, int64_t now_ms) {
    if (b->until_ms && now_ms >= b->until_ms) {
        cw_bucket_take(&b->ramp, now_ms, 1);
    }
}

#endif /* CHALKWAY_BACKOFF_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
