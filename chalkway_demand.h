#ifndef CHALKWAY_DEMAND_H
#define CHALKWAY_DEMAND_H
/*
    chalkway_demand.h -- targets and prompt lengths of a pool's requests, as learned

    WHAT IT IS
        What a host learns about the requests of a pool: the shortest target,
        the length of long prompts and how long these waited, and the backlog
        limit of each urgency. Derives from them the share of an engine's slots
        that a request may use, and the longest backlog it is queued behind.

    HOW TO USE IT
            cw_demand_t d = {0};
            cw_demand_learn_backlog_limit(&d, &work);
            double share = cw_demand_slot_share(&d, &work);
            cw_demand_learn_work(&d, &work, backlog_ms);

    WHAT IT DOES NOT DO
        It has no knowledge of servers and their load.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_server_table.h"

/* All zero: no request seen. */
typedef struct cw_demand_t {
    double backlog_limit_ms[CW_URGENCY_LEVELS]; /* learned backlog limit of each urgency's requests; 0: none seen */
    double short_target_ms;                     /* learned shortest target of the pool's requests; 0: none seen */
    double long_prompt_tokens;                  /* learned length of long prompts */
    double long_prompt_wait_ms;                 /* mean backlog that long prompts found recently */
} cw_demand_t;

/* Whether the request is delay-tolerant: its target is much longer than the pool's shortest one. */
bool cw_demand_is_delay_tolerant(const cw_demand_t* d, const cw_work_t* work);
/* Share of an engine's slots that the request may use. Without this limit, the delay-tolerant requests of a burst would
   take every slot for seconds and leave none for urgent ones. Targets of up to twice the shortest one are
   treated alike. */
double cw_demand_slot_share(const cw_demand_t* d, const cw_work_t* work);
/* Whether the prompt is long compared to the pool's other prompts. */
bool cw_demand_is_long_prompt(const cw_demand_t* d, const cw_work_t* work);
/* Backlog limit, ms: the longest backlog that the request is queued behind. */
double cw_demand_backlog_limit_ms(const cw_demand_t* d, const cw_work_t* work);
/* Learns the backlog limit of the request's urgency. Called before the choice, so that refused requests count, too. */
void cw_demand_learn_backlog_limit(cw_demand_t* d, const cw_work_t* work);
/* Learns the targets and prompt lengths of the pool's requests. wait_ms: the backlog that the prompt found. */
void cw_demand_learn_work(cw_demand_t* d, const cw_work_t* work, double wait_ms);

#endif /* CHALKWAY_DEMAND_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_DEMAND_IMPL_INCLUDED
#define CHALKWAY_DEMAND_IMPL_INCLUDED

#include "chalkway_stall.h"

/* The length of long prompts is learned as a high quantile of all lengths. */
#define _CW_LONG_PROMPT_UP 0.1
#define _CW_LONG_PROMPT_DOWN 0.005
/* Largest share of the slots that requests with a long target leave to those with a short one. The share grows with the
   target. */
#define _CW_TOLERANT_RESERVE_SHARE 0.4
/* Multiple of the shortest target above which a target is long. */
#define _CW_TOLERANT_TARGET_RATIO 2.0
/* The shortest target is learned as a low quantile. */
#define _CW_SHORT_TARGET_DOWN 0.1
#define _CW_SHORT_TARGET_UP 0.005
/* Backlog limit of a request, in targets. It is lower for long prompts, since they delay other prompts. Short prompts
   delay no others, and a late response to them is still useful. */
#define _CW_BACKLOG_TARGETS_LONG 1.0
#define _CW_BACKLOG_TARGETS_SHORT 3.0
/* The backlog limit of an urgency is learned as a low quantile. */
#define _CW_BACKLOG_LIMIT_UP 0.005
#define _CW_BACKLOG_LIMIT_DOWN 0.2
#define _CW_LONG_PROMPT_SHARE 0.25      /* of the learned length of long prompts: a longer prompt is long */
#define _CW_LONG_PROMPT_WAIT_WEIGHT 0.1 /* of the backlog that one long prompt found */

bool cw_demand_is_delay_tolerant(const cw_demand_t* d, const cw_work_t* work) {
    double long_target_ms = _CW_TOLERANT_TARGET_RATIO * d->short_target_ms;
    return long_target_ms > 0 && work->target_ms > long_target_ms;
}

double cw_demand_slot_share(const cw_demand_t* d, const cw_work_t* work) {
    double long_target_ms = _CW_TOLERANT_TARGET_RATIO * d->short_target_ms;
    return 1 - (cw_demand_is_delay_tolerant(d, work)
                    ? _CW_TOLERANT_RESERVE_SHARE * (1 - long_target_ms / work->target_ms)
                    : 0);
}

bool cw_demand_is_long_prompt(const cw_demand_t* d, const cw_work_t* work) {
    return work->prompt_tokens > _CW_LONG_PROMPT_SHARE * d->long_prompt_tokens;
}

double cw_demand_backlog_limit_ms(const cw_demand_t* d, const cw_work_t* work) {
    return (cw_demand_is_long_prompt(d, work) ? _CW_BACKLOG_TARGETS_LONG : _CW_BACKLOG_TARGETS_SHORT) * work->target_ms;
}

void cw_demand_learn_backlog_limit(cw_demand_t* d, const cw_work_t* work) {
    double* learned_ms = &d->backlog_limit_ms[cw_urgency_level(work->urgency)];
    double backlog_limit_ms = cw_demand_backlog_limit_ms(d, work);
    *learned_ms = *learned_ms > 0
                      ? cw_quantile_update(*learned_ms, backlog_limit_ms, _CW_BACKLOG_LIMIT_UP, _CW_BACKLOG_LIMIT_DOWN)
                      : backlog_limit_ms;
}

void cw_demand_learn_work(cw_demand_t* d, const cw_work_t* work, double wait_ms) {
    double old_target_ms = d->short_target_ms > 0 ? d->short_target_ms : work->target_ms;
    d->short_target_ms = cw_quantile_update(old_target_ms, work->target_ms, _CW_SHORT_TARGET_UP, _CW_SHORT_TARGET_DOWN);
    d->long_prompt_tokens =
        cw_quantile_update(d->long_prompt_tokens, work->prompt_tokens, _CW_LONG_PROMPT_UP, _CW_LONG_PROMPT_DOWN);
    if (work->prompt_tokens > d->long_prompt_tokens / 2) {
        d->long_prompt_wait_ms += _CW_LONG_PROMPT_WAIT_WEIGHT * (wait_ms - d->long_prompt_wait_ms);
    }
}

#endif /* CHALKWAY_DEMAND_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
