#ifndef CHALKWAY_QUEUE_ORDER_H
#define CHALKWAY_QUEUE_ORDER_H
/*
    chalkway_queue_order.h -- order and time limits of requests that wait for a slot

    WHAT IT IS
        The order in which waiting requests get the free slots of a pool, and
        how long each of them waits.

        A request is in time for a short period, the same for all requests of
        a pool. If it has found no slot by then, it is late: it keeps waiting,
        behind all requests that are in time, as long as its caller listens
        and can still be answered. A late response is useful to the caller, a
        refusal is not. Delay-tolerant requests (long prompts) are refused
        instead: once late, they would occupy for seconds slots that others
        need in time.

        Requests of a light class, which needs few of the pool's slots, have
        priority over all others. Behind a class that occupies slots for
        seconds they would wait just as long, and they delay that class very
        little.

    HOW TO USE IT
            cw_queue_wait_t wait = cw_queue_wait(&desc); // when there is no free slot
            cw_queue_key_t key = {.urgency = urgency, .is_light = is_light, .arrived_ms = arrived_ms};
            if (cw_queue_precedes(&key, &other)) { ... }

    WHAT IT DOES NOT DO
        It has no queue of its own and no knowledge of servers.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* What determines a waiting request's position in the queue. */
typedef struct cw_queue_key_t {
    uint32_t urgency; /* 0 is the most urgent */
    bool is_light;
    bool is_late;
    int64_t arrived_ms;
} cw_queue_key_t;

/* What determines how long a request may wait. */
typedef struct cw_queue_wait_desc_t {
    int64_t now_ms;
    int64_t caller_gone_ms;    /* time at which its caller is assumed to be gone */
    uint32_t target_ms;        /* target of the request, to the first byte */
    double shortest_target_ms; /* shortest target of the pool's requests; 0: unknown */
    bool is_delay_tolerant;    /* the request is refused when it is late */
} cw_queue_wait_desc_t;

typedef struct cw_queue_wait_t {
    int64_t late_from_ms; /* time from which the request is late */
    int64_t until_ms;     /* time at which the request is refused, no earlier than late_from_ms */
} cw_queue_wait_t;

/* Whether x gets a slot before y. */
bool cw_queue_precedes(const cw_queue_key_t* x, const cw_queue_key_t* y);
/* Time limits of a request that finds no free slot now. */
cw_queue_wait_t cw_queue_wait(const cw_queue_wait_desc_t* desc);

#endif /* CHALKWAY_QUEUE_ORDER_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_QUEUE_ORDER_IMPL_INCLUDED
#define CHALKWAY_QUEUE_ORDER_IMPL_INCLUDED

/* Share of the pool's shortest target after which a waiting request is late: it could hardly meet its target. */
#define _CW_QUEUE_IN_TIME_SHARE 0.4
#define _CW_QUEUE_IN_TIME_MIN_MS 20

bool cw_queue_precedes(const cw_queue_key_t* x, const cw_queue_key_t* y) {
    if (x->is_light != y->is_light) {
        return x->is_light;
    }
    if (x->is_late != y->is_late) {
        return y->is_late;
    }
    return x->urgency != y->urgency ? x->urgency < y->urgency : x->arrived_ms < y->arrived_ms;
}

cw_queue_wait_t cw_queue_wait(const cw_queue_wait_desc_t* desc) {
    bool has_shorter = desc->shortest_target_ms > 0 && desc->shortest_target_ms < desc->target_ms;
    double in_time_ms = _CW_QUEUE_IN_TIME_SHARE * (has_shorter ? desc->shortest_target_ms : desc->target_ms);
    int64_t late_from_ms =
        desc->now_ms + (int64_t)(in_time_ms > _CW_QUEUE_IN_TIME_MIN_MS ? in_time_ms : _CW_QUEUE_IN_TIME_MIN_MS);
    /* A request sent with less than its target left would run for a caller that is gone. */
    int64_t latest_send_ms = desc->caller_gone_ms - desc->target_ms;
    return (cw_queue_wait_t){.late_from_ms = late_from_ms,
                             .until_ms = !desc->is_delay_tolerant && latest_send_ms > late_from_ms ? latest_send_ms
                                                                                                   : late_from_ms};
}

#endif /* CHALKWAY_QUEUE_ORDER_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
