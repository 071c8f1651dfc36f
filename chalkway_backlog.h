#ifndef CHALKWAY_BACKLOG_H
#define CHALKWAY_BACKLOG_H
/*
    chalkway_backlog.h -- pending prefills of one engine, by urgency

    WHAT IT IS
        An engine prefills prompts one after the other, the more urgent ones
        first. For each urgency this module keeps the predicted time at which
        all prompts that are no less urgent will be prefilled. A prompt that
        ends earlier or later than predicted shifts those behind it; a more
        urgent prompt that is added later shifts those that it overtakes.

    HOW TO USE IT
            cw_backlog_t b = {0};
            cw_backlog_plan_t plan = cw_backlog_add(&b, now_ms, urgency, prefill_ms);
            double wait_ms = cw_backlog_ms(&b, now_ms, urgency);
            cw_backlog_remove(&b, now_ms, &plan);

    WHAT IT DOES NOT DO
        It does not predict the prefill time of a prompt.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* Position of one prompt in the backlog. */
typedef struct cw_backlog_plan_t {
    uint32_t urgency;
    double expected_end_ms; /* predicted end of its prefill, if no more urgent prompt is added */
    double inserted_ms;     /* inserted_ms of the prompt's urgency when the prompt was added */
} cw_backlog_plan_t;

/* All zero: empty. */
typedef struct cw_backlog_t {
    double until_ms[CW_URGENCY_LEVELS];    /* predicted end of the prefills of this urgency and more urgent ones */
    uint32_t pending[CW_URGENCY_LEVELS];   /* pending prompts of this urgency and more urgent ones */
    double inserted_ms[CW_URGENCY_LEVELS]; /* total prefill time of more urgent prompts added so far */
} cw_backlog_t;

/* Time until the prompts of the urgency and more urgent ones are prefilled. Once the predicted time has passed, they
   are assumed to take as long again as the delay so far. */
double cw_backlog_ms(const cw_backlog_t* b, int64_t now_ms, uint32_t urgency);
cw_backlog_plan_t cw_backlog_add(cw_backlog_t* b, int64_t now_ms, uint32_t urgency, double prefill_ms);
/* Removes a prompt that is prefilled, or never will be. */
void cw_backlog_remove(cw_backlog_t* b, int64_t now_ms, const cw_backlog_plan_t* plan);

#endif /* CHALKWAY_BACKLOG_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_BACKLOG_IMPL_INCLUDED
#define CHALKWAY_BACKLOG_IMPL_INCLUDED

double cw_backlog_ms(const cw_backlog_t* b, int64_t now_ms, uint32_t urgency) {
    double remaining_ms = b->until_ms[urgency] - (double)now_ms;
    if (!b->pending[urgency]) {
        return 0;
    }
    return remaining_ms > 0 ? remaining_ms : -remaining_ms;
}

cw_backlog_plan_t cw_backlog_add(cw_backlog_t* b, int64_t now_ms, uint32_t urgency, double prefill_ms) {
    for (uint32_t i = urgency; i < CW_URGENCY_LEVELS; i++) {
        b->until_ms[i] = (double)now_ms + cw_backlog_ms(b, now_ms, i) + prefill_ms;
        b->pending[i]++;
        b->inserted_ms[i] += i > urgency ? prefill_ms : 0;
    }
    return (cw_backlog_plan_t){
        .urgency = urgency, .expected_end_ms = b->until_ms[urgency], .inserted_ms = b->inserted_ms[urgency]};
}

void cw_backlog_remove(cw_backlog_t* b, int64_t now_ms, const cw_backlog_plan_t* plan) {
    double inserted_ms = b->inserted_ms[plan->urgency] - plan->inserted_ms;
    double delay_ms = (double)now_ms - plan->expected_end_ms - inserted_ms;
    for (uint32_t i = plan->urgency; i < CW_URGENCY_LEVELS; i++) {
        b->pending[i] -= b->pending[i] > 0;
        b->until_ms[i] += delay_ms;
        if (!b->pending[i] || b->until_ms[i] < (double)now_ms) {
            b->until_ms[i] = (double)now_ms;
        }
    }
}

#endif /* CHALKWAY_BACKLOG_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
