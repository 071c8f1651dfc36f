#ifndef CHALKWAY_PREFILL_H
#define CHALKWAY_PREFILL_H
/*
    chalkway_prefill.h -- learned prefill time of an engine

    WHAT IT IS
        The time from sending a prompt to the first event of its response,
        without a wait: a fixed part and a part for each token, learned from
        the first events of a host's own requests.

        All other influences on a sample (a wait for a slot, a prompt of
        another host that is not known yet, a delay of the host itself) make
        it longer, never shorter. Both parts therefore follow a low quantile:
        a sample moves them by a small step up or down, regardless of its
        distance, and the steps balance when more samples lie above than
        below. A sample that may include a wait can only lower the estimate.

    HOW TO USE IT
            cw_prefill_t p = cw_prefill_init();
            double ms = cw_prefill_ms(&p, tokens);
            cw_prefill_learn(&p, tokens, took_ms, is_unqueued);

    WHAT IT DOES NOT DO
        It does not distinguish servers; the slowdown of each server relative
        to the others is learned separately (chalkway_server_learning.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef struct cw_prefill_t {
    double base_ms;      /* fixed part */
    double ms_per_token; /* for each token */
} cw_prefill_t;

/* The estimate before the first sample. */
cw_prefill_t cw_prefill_init(void);
/* Predicted time to the first event for a prompt of so many tokens. */
double cw_prefill_ms(const cw_prefill_t* p, uint32_t tokens);
/* Records a time to the first event for a prompt of so many tokens. is_unqueued: nothing is known that the prompt may
   have waited for; otherwise only a sample below the prediction counts. */
void cw_prefill_learn(cw_prefill_t* p, uint32_t tokens, double took_ms, bool is_unqueued);

#endif /* CHALKWAY_PREFILL_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PREFILL_IMPL_INCLUDED
#define CHALKWAY_PREFILL_IMPL_INCLUDED

/* Initial estimate: the order of magnitude of a large model on eight accelerators, and one step of an engine. */
#define _CW_PREFILL_INITIAL_MS_PER_TOKEN 0.02
#define _CW_PREFILL_INITIAL_BASE_MS 5.0
/* Steps of a part for a sample above and below the prediction. With this ratio, a third of the samples lie below. */
#define _CW_PREFILL_STEP_UP 0.02
#define _CW_PREFILL_STEP_DOWN 0.04
/* Lower bounds: no response and no engine is faster. */
#define _CW_PREFILL_BASE_MIN_MS 1.0
#define _CW_PREFILL_MIN_MS_PER_TOKEN 1e-4

cw_prefill_t cw_prefill_init(void) {
    return (cw_prefill_t){.base_ms = _CW_PREFILL_INITIAL_BASE_MS, .ms_per_token = _CW_PREFILL_INITIAL_MS_PER_TOKEN};
}

double cw_prefill_ms(const cw_prefill_t* p, uint32_t tokens) {
    return p->base_ms + p->ms_per_token * tokens;
}

void cw_prefill_learn(cw_prefill_t* p, uint32_t tokens, double took_ms, bool is_unqueued) {
    double expected_ms = cw_prefill_ms(p, tokens);
    bool is_above = took_ms > expected_ms;
    if (is_above && !is_unqueued) {
        return;
    }
    /* Each part is corrected by its share of the prediction: short prompts mainly correct the fixed part, long ones the
       part for each token. */
    double token_share = p->ms_per_token * tokens / expected_ms;
    double step = is_above ? _CW_PREFILL_STEP_UP : -_CW_PREFILL_STEP_DOWN;
    p->ms_per_token *= 1 + step * token_share;
    p->base_ms *= 1 + step * (1 - token_share);
    p->ms_per_token = p->ms_per_token > _CW_PREFILL_MIN_MS_PER_TOKEN ? p->ms_per_token : _CW_PREFILL_MIN_MS_PER_TOKEN;
    p->base_ms = p->base_ms > _CW_PREFILL_BASE_MIN_MS ? p->base_ms : _CW_PREFILL_BASE_MIN_MS;
}

#endif /* CHALKWAY_PREFILL_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
