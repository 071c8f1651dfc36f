#ifndef CHALKWAY_REST_H
#define CHALKWAY_REST_H
/*
    chalkway_rest.h -- a server that wants nothing from this host for a while

    WHAT IT IS
        Until when one host leaves one server alone, and how it begins again:
        slowly, since what waited for the end would else come all at once and
        have the server ask for rest again.

        A rest is never shortened: what the server said first still stands,
        and a later answer may be an older one that was overtaken.

    HOW TO USE IT
            cw_rest_t rest = {0};
            cw_rest_ask(&rest, now_ms, 3000);
            if (!cw_rest_wait_ms(&rest, now_ms)) {
                cw_rest_take(&rest, now_ms);          // and send
            }

    WHAT IT DOES NOT DO
        Other hosts are not asked to rest: the server asks each itself.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_limit.h"

/* All zero: it was never asked for. */
typedef struct cw_rest_t {
    int64_t until_ms;
    cw_bucket_t start; /* what the server gets just after it */
} cw_rest_t;

/* The server wants nothing for so long from now. */
void cw_rest_ask(cw_rest_t* r, int64_t now_ms, uint32_t ms);
/* Time until a request may be sent there, 0: now. */
uint32_t cw_rest_wait_ms(const cw_rest_t* r, int64_t now_ms);
/* A request is sent there. */
void cw_rest_take(cw_rest_t* r, int64_t now_ms);

#endif /* CHALKWAY_REST_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_REST_IMPL_INCLUDED
#define CHALKWAY_REST_IMPL_INCLUDED

#define _CW_REST_START_MS 1000 /* after a rest, in which the server gets no more than */
#define _CW_REST_START_PER_S 20.0

void cw_rest_ask(cw_rest_t* r, int64_t now_ms, uint32_t ms) {
    if (now_ms + ms <= r->until_ms) {
        return;
    }
    r->until_ms = now_ms + ms;
    r->start =
        (cw_bucket_t){.rate = _CW_REST_START_PER_S, .burst = 1, .tokens = 1, .at_ms = r->until_ms, .started = true};
}

uint32_t cw_rest_wait_ms(const cw_rest_t* r, int64_t now_ms) {
    if (now_ms < r->until_ms) {
        return (uint32_t)(r->until_ms - now_ms);
    }
    bool starting = r->until_ms && now_ms - r->until_ms < _CW_REST_START_MS;
    return starting ? cw_bucket_wait_ms(&r->start, now_ms, 1) : 0;
}

void cw_rest_take(cw_rest_t* r, int64_t now_ms) {
    if (r->until_ms && now_ms >= r->until_ms) {
        cw_bucket_take(&r->start, now_ms, 1);
    }
}

#endif /* CHALKWAY_REST_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
