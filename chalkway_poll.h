#ifndef CHALKWAY_POLL_H
#define CHALKWAY_POLL_H
/*
    chalkway_poll.h -- when a daemon polls a source that its fleet shares

    WHAT IT IS
        Daemons send each other the state that they polled from the source,
        with its age, so that one poll refreshes the whole fleet. A daemon's
        rank decides when it polls: its position among the live daemons, in
        an order on which all agree. Before it polls, each rank lets the state
        grow a little older than the previous rank does. So usually only the
        daemon of the first rank polls, and the next ones do when it fails. In
        a large fleet the ranks beyond the first ones are spread over time, so
        that a late update makes some hosts poll, not all. The same order
        applies at the start, when there is no state yet, and to the backoff
        after a failed poll: while the source is unreachable, few daemons
        poll it, and the others get the state from them.

    HOW TO USE IT
            cw_poll_t poll = {.poll_age_ms = 400, .rank = rank, .started_ms = now_ms, .seed = host};
            if (cw_poll_is_due(&poll, confirmed_ms, now_ms)) { request the state }
            failed: next_ms = now_ms + cw_poll_backoff_ms(&poll, failures, draw);

    WHAT IT DOES NOT DO
        It does not poll and does not track membership.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_POLL_NEVER INT64_MIN /* confirmed_ms before there is any state */

typedef struct cw_poll_t {
    uint32_t poll_age_ms; /* age of the state at which the daemon of the first rank polls again */
    uint32_t rank;        /* 0: first */
    uint32_t daemons;     /* number of live daemons, including this one; 0: no more than the first ranks */
    /* Age of the state at which the daemon of the last rank polls. 0: all ranks beyond the first ones poll at the same
       age. */
    uint32_t last_rank_poll_age_ms;
    int64_t started_ms;  /* start of this daemon */
    bool is_first_start; /* first start of the whole system: without callers, a daemon can wait for others' polls */
    uint64_t seed;       /* of this host, for jitter at the start */
} cw_poll_t;

/* Whether to poll now. confirmed_ms: time at which the state was last confirmed by the source, by any daemon's poll;
   CW_POLL_NEVER: there is no state. */
bool cw_poll_is_due(const cw_poll_t* poll, int64_t confirmed_ms, int64_t now_ms);
/* Backoff before the next poll, after a number of consecutive failures (1 or more). draw: a random number. */
uint32_t cw_poll_backoff_ms(const cw_poll_t* poll, uint32_t failures, uint64_t draw);

#endif /* CHALKWAY_POLL_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_POLL_IMPL_INCLUDED
#define CHALKWAY_POLL_IMPL_INCLUDED

#define _CW_POLL_STEPS 5               /* first ranks; each of them polls one step later than the one before */
#define _CW_POLL_STEP_FRACTION 0.3     /* length of a step, as a fraction of poll_age_ms */
#define _CW_POLL_START_STEP_MS 100     /* additional delay per first rank at the start */
#define _CW_POLL_START_RANK_MS 20      /* additional delay per rank beyond the first ones at the start */
#define _CW_POLL_START_JITTER_MS 200   /* ms of jitter: hosts that start together do not know their ranks yet */
#define _CW_POLL_START_ALONE_MS 200    /* additional delay at the start for a host that knows no other host yet */
#define _CW_POLL_FIRST_START_FACTOR 10 /* factor on the start delays at a first start: others' state can arrive */
#define _CW_POLL_BACKOFF_MS 100        /* backoff after the first failure, for the first rank, and increment per rank */
#define _CW_POLL_BACKOFF_MAX_MS 1000   /* longest backoff of the first rank */
#define _CW_POLL_BACKOFF_RANKS_MAX 50  /* rank from which the backoff does not grow further */

static uint32_t _cw_poll_steps(const cw_poll_t* poll) {
    return poll->rank < _CW_POLL_STEPS ? poll->rank : _CW_POLL_STEPS;
}

static int64_t _cw_poll_start_delay_ms(const cw_poll_t* poll) {
    int64_t delay_ms = (int64_t)_cw_poll_steps(poll) * _CW_POLL_START_STEP_MS;
    delay_ms += (int64_t)(cw_mix(poll->seed, 0) % _CW_POLL_START_JITTER_MS);
    delay_ms += poll->daemons == 1 ? _CW_POLL_START_ALONE_MS : 0;
    if (poll->is_first_start) {
        return delay_ms * _CW_POLL_FIRST_START_FACTOR;
    }
    int64_t ranks_beyond = (int64_t)poll->rank - _cw_poll_steps(poll);
    return delay_ms + ranks_beyond * _CW_POLL_START_RANK_MS;
}

/* Age of the state at which this rank polls. */
static int64_t _cw_poll_age_ms(const cw_poll_t* poll) {
    double age_ms = poll->poll_age_ms * (1 + _cw_poll_steps(poll) * _CW_POLL_STEP_FRACTION);
    if (poll->rank > _CW_POLL_STEPS && poll->daemons > poll->rank && poll->last_rank_poll_age_ms > age_ms) {
        age_ms +=
            (poll->last_rank_poll_age_ms - age_ms) * (poll->rank - _CW_POLL_STEPS) / (poll->daemons - _CW_POLL_STEPS);
    }
    return (int64_t)age_ms;
}

bool cw_poll_is_due(const cw_poll_t* poll, int64_t confirmed_ms, int64_t now_ms) {
    if (confirmed_ms == CW_POLL_NEVER) {
        return now_ms - poll->started_ms >= _cw_poll_start_delay_ms(poll);
    }
    return now_ms - confirmed_ms >= _cw_poll_age_ms(poll);
}

/* The backoff doubles up to a limit. Later ranks have a longer initial backoff and a higher limit, so that a large
   fleet polls little more often than a few daemons would. */
uint32_t cw_poll_backoff_ms(const cw_poll_t* poll, uint32_t failures, uint64_t draw) {
    uint32_t ranks = poll->rank < _CW_POLL_BACKOFF_RANKS_MAX ? poll->rank : _CW_POLL_BACKOFF_RANKS_MAX;
    uint32_t max_backoff_ms = _CW_POLL_BACKOFF_MAX_MS + ranks * _CW_POLL_BACKOFF_MS;
    uint32_t backoff_ms = _CW_POLL_BACKOFF_MS * (1 + ranks);
    for (uint32_t i = 1; i < failures && backoff_ms < max_backoff_ms; i++) {
        backoff_ms *= 2;
    }
    backoff_ms = backoff_ms < max_backoff_ms ? backoff_ms : max_backoff_ms;
    return backoff_ms / 2 + (uint32_t)(draw % (backoff_ms / 2));
}

#endif /* CHALKWAY_POLL_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
