#ifndef CHALKWAY_SERVER_EXCLUSION_H
#define CHALKWAY_SERVER_EXCLUSION_H
/*
    chalkway_server_exclusion.h -- servers that a host may not use now

    WHAT IT IS
        The reasons to exclude a server from a choice that are known without
        its load: it is unreachable or full, in slow start, it throttles this
        host, or it is suspected to be gone.

    HOW TO USE IT
            cw_exclusion_input_t in = {.now_ms = now_ms, .host = host, .hosts = live_hosts,
                                       .exclude_suspects = cw_server_can_exclude_suspects(&table, now_ms),
                                       .work = work};
            uint32_t* counter = cw_server_exclusion_counter(&in, s, &excluded);
            if (counter) { ++*counter; }

    WHAT IT DOES NOT DO
        It has no slots and no costs (chalkway_server_cost.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_server_table.h"

/* Numbers of servers that were excluded from a choice. A server counts once, by the first reason that applies. */
typedef struct cw_excluded_t {
    uint32_t tried;         /* in the caller's list of tried servers */
    uint32_t unreachable;   /* unreachable, or it has just refused a request for lack of capacity */
    uint32_t cold;          /* in slow start and at its rate limit */
    uint32_t backing_off;   /* it asked this host to back off */
    uint32_t rate_limited;  /* its advertised rate allows no request of this host now */
    uint32_t suspected;     /* suspected, and in another host's time slice to probe it */
    uint32_t other_version; /* not of the version that the request needs */
    uint32_t unsettled;     /* of a version at which no resumable stream may begin yet */
    uint32_t doubted;       /* they may have started again, at another version, and the stream needs to know it */
    uint32_t no_slot;       /* no free slot for this request, or none for this host now */
} cw_excluded_t;

/* The inputs that are the same for all servers of one choice. */
typedef struct cw_exclusion_input_t {
    int64_t now_ms;
    uint64_t host;  /* id of this host */
    uint32_t hosts; /* number of live hosts */
    bool exclude_suspects;
    const cw_work_t* work;
    /* Whether this host is the only one that sends to the server during its slow start; NULL: always true. */
    bool (*owns_server)(void* user_data, uint64_t server);
    void* user_data;
} cw_exclusion_input_t;

/* Whether suspected servers are excluded: not when so many are suspected that the fault is more likely this side's. */
bool cw_server_can_exclude_suspects(const cw_server_table_t* t, int64_t now_ms);
/* Time, ms, until a throttling server accepts a request of this host; 0: now, CW_RATE_NEVER: unknown. */
uint32_t cw_server_throttle_ms(const cw_pool_server_t* s, int64_t now_ms);
/* Returns the counter of the reason to exclude the server, or NULL if it may be used as far as can be determined
   without summing its load. */
uint32_t* cw_server_exclusion_counter(const cw_exclusion_input_t* in, const cw_pool_server_t* s,
                                      cw_excluded_t* excluded);

#endif /* CHALKWAY_SERVER_EXCLUSION_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SERVER_EXCLUSION_IMPL_INCLUDED
#define CHALKWAY_SERVER_EXCLUSION_IMPL_INCLUDED

#define _CW_SUSPECT_SHARE 0.5 /* of a pool's servers: with more suspected, the fault is taken to be elsewhere */

/* Whether slow start permits a request to the server now: a single host sends there, below its rate limit. */
static bool _cw_server_can_send_cold(const cw_exclusion_input_t* in, const cw_pool_server_t* s) {
    if (in->now_ms >= s->cold_until_ms || s->spec.cold_per_s <= 0) {
        return true;
    }
    bool is_owner = !in->owns_server || in->owns_server(in->user_data, s->spec.id);
    return is_owner && !cw_bucket_wait_ms(&s->cold, in->now_ms, 1);
}

/* Whether the server is suspected, and it is not this host's time slice to probe it. */
static bool _cw_server_is_excluded_suspect(const cw_exclusion_input_t* in, const cw_pool_server_t* s) {
    return cw_suspect_is_active(&s->suspicion, in->now_ms) &&
           !cw_suspect_may_probe(&s->suspicion, in->now_ms, in->host, s->spec.id, in->hosts);
}

bool cw_server_can_exclude_suspects(const cw_server_table_t* t, int64_t now_ms) {
    uint32_t suspected = 0;
    for (uint32_t i = 0; i < t->entry_count; i++) {
        const cw_pool_server_t* s = &t->servers[i];
        suspected += s->is_used && s->is_listed && cw_suspect_is_active(&s->suspicion, now_ms);
    }
    return suspected <= _CW_SUSPECT_SHARE * t->listed_count;
}

uint32_t cw_server_throttle_ms(const cw_pool_server_t* s, int64_t now_ms) {
    uint32_t backoff_ms = cw_backoff_wait_ms(&s->backoff, now_ms);
    uint32_t rate_ms = cw_rate_wait_ms(&s->rate, now_ms);
    return backoff_ms > rate_ms ? backoff_ms : rate_ms;
}

uint32_t* cw_server_exclusion_counter(const cw_exclusion_input_t* in, const cw_pool_server_t* s,
                                      cw_excluded_t* excluded) {
    if (in->work->version && in->work->version != s->spec.version) {
        return &excluded->other_version;
    }
    if (in->work->begins_stream && in->now_ms < s->spec.settled_ms) {
        return &excluded->unsettled;
    }
    if (s->is_unreachable || in->now_ms < s->full_until_ms) {
        return &excluded->unreachable;
    }
    bool begins = in->work->begins_stream && !in->work->accepts_doubted;
    bool may_differ = s->is_doubted || (in->work->needs_observed && !s->is_observed);
    if ((may_differ && in->work->version) || (s->may_not_begin && begins)) {
        return &excluded->doubted;
    }
    if (!_cw_server_can_send_cold(in, s)) {
        return &excluded->cold;
    }
    if (cw_backoff_wait_ms(&s->backoff, in->now_ms)) {
        return &excluded->backing_off;
    }
    if (cw_rate_wait_ms(&s->rate, in->now_ms)) {
        return &excluded->rate_limited;
    }
    return in->exclude_suspects && _cw_server_is_excluded_suspect(in, s) ? &excluded->suspected : NULL;
}

#endif /* CHALKWAY_SERVER_EXCLUSION_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
