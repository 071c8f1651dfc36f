#ifndef CHALKWAY_READING_H
#define CHALKWAY_READING_H
/*
    chalkway_reading.h -- learned time in which an engine reads a prompt

    WHAT IT IS
        The time to the first event of a prompt before which nothing stood,
        as a fixed part and a part for each token, learned from the first
        events of a host's own requests.

        Whatever else a sample holds (a place that others took, a prompt of
        another host that is not known yet, the host's own delay) makes it
        longer, never shorter. So both parts follow a low quantile: each
        sample moves them by a small step up or down, however far it lies
        off, and more samples must lie above than below. A sample that may
        hold a wait can only say that reading is faster than believed.

    HOW TO USE IT
            cw_reading_t r = cw_reading_new();
            double ms = cw_reading_ms(&r, tokens);
            cw_reading_learn(&r, tokens, took_ms, quiet);

    WHAT IT DOES NOT DO
        It knows no servers; how much slower one of them is than the others
        is learned beside it (chalkway_balance.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef struct cw_reading_t {
    double base_ms;  /* fixed part */
    double token_ms; /* for each token */
} cw_reading_t;

/* Before anything was learned. */
cw_reading_t cw_reading_new(void);
/* Time to the first event of a prompt of so many tokens. */
double cw_reading_ms(const cw_reading_t* r, uint32_t tokens);
/* A first event came took_ms after so many tokens began to be read. quiet: nothing is known that it may have waited
   for; otherwise only a sample shorter than believed counts. */
void cw_reading_learn(cw_reading_t* r, uint32_t tokens, double took_ms, bool quiet);

#endif /* CHALKWAY_READING_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_READING_IMPL_INCLUDED
#define CHALKWAY_READING_IMPL_INCLUDED

#define _CW_READING_TOKEN_MS                                                                                           \
    0.02                        /* before anything was learned; of the order of a large model on eight accelerators    \
                                 */
#define _CW_READING_BASE_MS 5.0 /* the same, one step of an engine */
#define _CW_READING_UP 0.02     /* share by which a sample above moves a part */
#define _CW_READING_DOWN 0.04   /* by which one below does: a third of the samples end below what is believed */
#define _CW_READING_BASE_MIN_MS 1.0   /* no answer is faster */
#define _CW_READING_TOKEN_MIN_MS 1e-4 /* no engine is */

cw_reading_t cw_reading_new(void) {
    return (cw_reading_t){.base_ms = _CW_READING_BASE_MS, .token_ms = _CW_READING_TOKEN_MS};
}

double cw_reading_ms(const cw_reading_t* r, uint32_t tokens) {
    return r->base_ms + r->token_ms * tokens;
}

void cw_reading_learn(cw_reading_t* r, uint32_t tokens, double took_ms, bool quiet) {
    double expected_ms = cw_reading_ms(r, tokens);
    bool above = took_ms > expected_ms;
    if (above && !quiet) {
        return;
    }
    /* Each part answers for its share of what was expected: short prompts tell of the fixed one, long ones of the rest.
     */
    double of_tokens = r->token_ms * tokens / expected_ms;
    double step = above ? _CW_READING_UP : -_CW_READING_DOWN;
    r->token_ms *= 1 + step * of_tokens;
    r->base_ms *= 1 + step * (1 - of_tokens);
    r->token_ms = r->token_ms > _CW_READING_TOKEN_MIN_MS ? r->token_ms : _CW_READING_TOKEN_MIN_MS;
    r->base_ms = r->base_ms > _CW_READING_BASE_MIN_MS ? r->base_ms : _CW_READING_BASE_MIN_MS;
}

#endif /* CHALKWAY_READING_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
