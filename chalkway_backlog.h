#ifndef CHALKWAY_BACKLOG_H
#define CHALKWAY_BACKLOG_H
/*
    chalkway_backlog.h -- prompts that wait to be read at one engine, by urgency

    WHAT IT IS
        An engine reads prompts one after the other, the more urgent ones
        first. For each urgency this keeps the time at which all prompts that
        are no less urgent will have been read, as far as planned.
        A prompt that ends earlier or later than planned moves those behind
        it; a more urgent one that comes later moves the plan of those before
        which it goes.

    HOW TO USE IT
            cw_backlog_t b = {0};
            cw_backlog_plan_t plan = cw_backlog_add(&b, now_ms, urgency, read_ms);
            double wait_ms = cw_backlog_ms(&b, now_ms, urgency);
            cw_backlog_done(&b, now_ms, &plan);

    WHAT IT DOES NOT DO
        It does not predict how long a prompt takes to read.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* One prompt's place. */
typedef struct cw_backlog_plan_t {
    uint32_t urgency;
    double done_ms;       /* when it was to be read, if nothing more urgent came */
    double put_before_ms; /* of its urgency, as it was added */
} cw_backlog_plan_t;

/* All zero: empty. */
typedef struct cw_backlog_t {
    double until_ms[CW_URGENCIES];      /* prompts of this urgency and before are read by then */
    uint32_t unread[CW_URGENCIES];      /* prompts of this urgency and before */
    double put_before_ms[CW_URGENCIES]; /* reading ever put before this urgency by more urgent prompts */
} cw_backlog_t;

/* The urgency that counts for one that may be beyond the last. */
/* Time until the prompts of the urgency and before are read. Past the planned time, what is late is taken to last as
   long again. */
double cw_backlog_ms(const cw_backlog_t* b, int64_t now_ms, uint32_t urgency);
cw_backlog_plan_t cw_backlog_add(cw_backlog_t* b, int64_t now_ms, uint32_t urgency, double read_ms);
/* The prompt is read, or never will be. */
void cw_backlog_done(cw_backlog_t* b, int64_t now_ms, const cw_backlog_plan_t* plan);

#endif /* CHALKWAY_BACKLOG_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_BACKLOG_IMPL_INCLUDED
#define CHALKWAY_BACKLOG_IMPL_INCLUDED

double cw_backlog_ms(const cw_backlog_t* b, int64_t now_ms, uint32_t urgency) {
    double left_ms = b->until_ms[urgency] - (double)now_ms;
    if (!b->unread[urgency]) {
        return 0;
    }
    return left_ms > 0 ? left_ms : -left_ms;
}

cw_backlog_plan_t cw_backlog_add(cw_backlog_t* b, int64_t now_ms, uint32_t urgency, double read_ms) {
    for (uint32_t i = urgency; i < CW_URGENCIES; i++) {
        b->until_ms[i] = (double)now_ms + cw_backlog_ms(b, now_ms, i) + read_ms;
        b->unread[i]++;
        b->put_before_ms[i] += i > urgency ? read_ms : 0;
    }
    return (cw_backlog_plan_t){
        .urgency = urgency, .done_ms = b->until_ms[urgency], .put_before_ms = b->put_before_ms[urgency]};
}

void cw_backlog_done(cw_backlog_t* b, int64_t now_ms, const cw_backlog_plan_t* plan) {
    double put_before_ms = b->put_before_ms[plan->urgency] - plan->put_before_ms;
    double late_ms = (double)now_ms - plan->done_ms - put_before_ms;
    for (uint32_t i = plan->urgency; i < CW_URGENCIES; i++) {
        b->unread[i] -= b->unread[i] > 0;
        b->until_ms[i] += late_ms;
        if (!b->unread[i] || b->until_ms[i] < (double)now_ms) {
            b->until_ms[i] = (double)now_ms;
        }
    }
}

#endif /* CHALKWAY_BACKLOG_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
