#ifndef CHALKWAY_REJECT_LIMIT_H
#define CHALKWAY_REJECT_LIMIT_H
/*
    chalkway_reject_limit.h -- limit on rejections that a server advertises

    WHAT IT IS
        A server under strain announces how many requests it can reject in a
        second for lack of room: with more it fails, and takes the requests
        that it runs with it. The rejections of all hosts count together. One
        host's state of that limit for one server: whether it is active, and
        the rejections that this host and, by their reports, the others had
        there within the last second.

        While the limit is active, hosts use the server's free slots only and
        not its queue, whose length they don't know. A rejection then shows
        that their view of the server is wrong. When half of the limit is used
        up, the server gets no requests until the rejections are a second old;
        the other half is for requests that are under way to it meanwhile.

        The limit is active while responses advertise it, and ends with a
        response without it to a request that was sent later, or
        CW_REJECT_LIMIT_EXPIRY_MS after the last one with it.

    HOW TO USE IT
            cw_reject_limit_t limit = {0};
            cw_reject_limit_on_advertised(&limit, now_ms, 4);
            cw_reject_limit_on_rejected(&limit, now_ms);
            if (cw_reject_limit_is_used_up(&limit, now_ms, rejected_at_other_hosts)) { ... }

    WHAT IT DOES NOT DO
        It does not communicate and doesn't count slots.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_REJECT_LIMIT_WINDOW_MS 1000
#define CW_REJECT_LIMIT_EXPIRY_MS 30000 /* the limit expires when no response has mentioned it for this time */
#define CW_REJECT_LIMIT_REMEMBERED                                                                                     \
    8 /* rejections that a host remembers; with as many it stops, however high the limit */

/* All zero: no limit is advertised. Times in ms, 0: never. */
typedef struct cw_reject_limit_t {
    uint32_t per_s;                                  /* rejections per second */
    int64_t advertised_ms;                           /* when the limit was last known to be advertised */
    int64_t withdrawn_ms;                            /* when it was last known not to be */
    int64_t own_ms;                                  /* when a response to this host last advertised it */
    int64_t rejected_ms[CW_REJECT_LIMIT_REMEMBERED]; /* ring of this host's latest rejections */
    uint32_t next_rejected;
} cw_reject_limit_t;

/* Records a limit in a response to this host, or one that another host has seen at at_ms. True: a limit is active from
   now on that was not before, or another one. */
bool cw_reject_limit_on_advertised(cw_reject_limit_t* l, int64_t at_ms, uint32_t per_s);
bool cw_reject_limit_on_peer(cw_reject_limit_t* l, int64_t at_ms, uint32_t per_s);
/* Records a response without a limit to a request that was sent at sent_ms. True: a limit was active until now. */
bool cw_reject_limit_on_absent(cw_reject_limit_t* l, int64_t sent_ms, int64_t now_ms);
/* Records that the server rejected a request of this host for lack of room. */
void cw_reject_limit_on_rejected(cw_reject_limit_t* l, int64_t now_ms);
bool cw_reject_limit_is_active(const cw_reject_limit_t* l, int64_t now_ms);
/* Rejections of this host within the window. */
uint32_t cw_reject_limit_own_rejections(const cw_reject_limit_t* l, int64_t now_ms);
/* Whether the server must get no requests now. peer_rejections: those of the other hosts within the window. */
bool cw_reject_limit_is_used_up(const cw_reject_limit_t* l, int64_t now_ms, uint32_t peer_rejections);

#endif /* CHALKWAY_REJECT_LIMIT_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_REJECT_LIMIT_IMPL_INCLUDED
#define CHALKWAY_REJECT_LIMIT_IMPL_INCLUDED

#define _CW_REJECT_LIMIT_SHARE 0.5 /* of the limit that hosts use up knowingly */

bool cw_reject_limit_is_active(const cw_reject_limit_t* l, int64_t now_ms) {
    return l->advertised_ms > l->withdrawn_ms && now_ms - l->advertised_ms <= CW_REJECT_LIMIT_EXPIRY_MS;
}

bool cw_reject_limit_on_peer(cw_reject_limit_t* l, int64_t at_ms, uint32_t per_s) {
    if (at_ms <= l->withdrawn_ms || at_ms < l->advertised_ms) {
        return false;
    }
    bool changed = !cw_reject_limit_is_active(l, at_ms) || per_s != l->per_s;
    l->per_s = per_s;
    l->advertised_ms = at_ms;
    return changed;
}

bool cw_reject_limit_on_advertised(cw_reject_limit_t* l, int64_t at_ms, uint32_t per_s) {
    l->own_ms = at_ms;
    return cw_reject_limit_on_peer(l, at_ms, per_s);
}

bool cw_reject_limit_on_absent(cw_reject_limit_t* l, int64_t sent_ms, int64_t now_ms) {
    bool was_active = cw_reject_limit_is_active(l, now_ms);
    if (!was_active || sent_ms <= l->advertised_ms) {
        return false;
    }
    l->withdrawn_ms = sent_ms;
    return true;
}

void cw_reject_limit_on_rejected(cw_reject_limit_t* l, int64_t now_ms) {
    l->rejected_ms[l->next_rejected++ % CW_REJECT_LIMIT_REMEMBERED] = now_ms;
}

uint32_t cw_reject_limit_own_rejections(const cw_reject_limit_t* l, int64_t now_ms) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < CW_REJECT_LIMIT_REMEMBERED; i++) {
        count += l->rejected_ms[i] && now_ms - l->rejected_ms[i] < CW_REJECT_LIMIT_WINDOW_MS;
    }
    return count;
}

bool cw_reject_limit_is_used_up(const cw_reject_limit_t* l, int64_t now_ms, uint32_t peer_rejections) {
    uint32_t own_rejections = cw_reject_limit_own_rejections(l, now_ms);
    uint32_t rejections = own_rejections + peer_rejections;
    bool is_memory_full = own_rejections == CW_REJECT_LIMIT_REMEMBERED; /* there may have been more */
    return cw_reject_limit_is_active(l, now_ms) && rejections &&
           (is_memory_full || rejections >= _CW_REJECT_LIMIT_SHARE * l->per_s);
}

#endif /* CHALKWAY_REJECT_LIMIT_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
