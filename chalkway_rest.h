#ifndef CHALKWAY_REST_H
#define CHALKWAY_REST_H
/*
    chalkway_rest.h -- backoff that a server requested from this host

    WHAT IT IS
        The time until which this host sends no requests to a server that
        asked it to back off (Retry-After), and the slow start after it:
        otherwise all requests that waited for the end of the backoff would
        arrive at once, and the server would ask for another one.

        A backoff is never shortened: a response that asks for less may be an
        older one that was overtaken.

    HOW TO USE IT
            cw_rest_t backoff = {0};
            cw_rest_ask(&backoff, now_ms, 3000);
            if (!cw_rest_wait_ms(&backoff, now_ms)) {
                cw_rest_take(&backoff, now_ms);       // and send
            }

    WHAT IT DOES NOT DO
        It does not extend to other hosts: the server asks each one itself.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_limit.h"

/* All zero: no backoff was requested. */
typedef struct cw_rest_t {
    int64_t until_ms;
    cw_bucket_t start; /* rate limit of the slow start */
} cw_rest_t;

/* Starts a backoff of ms from now, unless the present one ends later. */
void cw_rest_ask(cw_rest_t* r, int64_t now_ms, uint32_t ms);
/* Time until a request may be sent to the server, 0: now. */
uint32_t cw_rest_wait_ms(const cw_rest_t* r, int64_t now_ms);
/* Records that a request is sent to the server. */
void cw_rest_take(cw_rest_t* r, int64_t now_ms);

#endif /* CHALKWAY_REST_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_REST_IMPL_INCLUDED
#define CHALKWAY_REST_IMPL_INCLUDED

#define _CW_BACKOFF_SLOW_START_MS 1000    /* duration of the slow start */
#define _CW_BACKOFF_SLOW_START_PER_S 20.0 /* requests per second during the slow start */

void cw_rest_ask(cw_rest_t* r, int64_t now_ms, uint32_t ms) {
    if (now_ms + ms <= r->until_ms) {
        return;
    }
    r->until_ms = now_ms + ms;
    r->start = (cw_bucket_t){
        .rate = _CW_BACKOFF_SLOW_START_PER_S, .burst = 1, .tokens = 1, .at_ms = r->until_ms, .started = true};
}

uint32_t cw_rest_wait_ms(const cw_rest_t* r, int64_t now_ms) {
    if (now_ms < r->until_ms) {
        return (uint32_t)(r->until_ms - now_ms);
    }
    bool is_slow_start = r->until_ms && now_ms - r->until_ms < _CW_BACKOFF_SLOW_START_MS;
    return is_slow_start ? cw_bucket_wait_ms(&r->start, now_ms, 1) : 0;
}

void cw_rest_take(cw_rest_t* r, int64_t now_ms) {
    if (r->until_ms && now_ms >= r->until_ms) {
        cw_bucket_take(&r->start, now_ms, 1);
    }
}

#endif /* CHALKWAY_REST_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
