#ifndef CHALKWAY_SUSPECT_H
#define CHALKWAY_SUSPECT_H
/*
    chalkway_suspect.h -- a server that fails all its callers is left alone by all hosts

    WHAT IT IS
        A server that died, or that resets whatever it gets, has no runs, so
        to every host that has not met it yet it looks like the only one with
        room. Hosts therefore tell each other when a connection to a server
        last broke or failed to come up, and when the server last accepted a
        request that it answered. Two failures since then, and the server is
        suspected: hosts leave it alone for a while, but for about one of them
        at a time, which tries it. An answer to a request that was sent after
        the failures ends the suspicion everywhere. What the server accepted
        before them proves nothing: it may go on with that while it resets all
        else. One failure alone is not believed, since sound servers also
        lose an answer now and then.

        Where most of a pool is suspected, the fault is taken to lie with
        who sees it, and nobody is left alone (chalkway_balance.h).

    HOW TO USE IT
            cw_suspect_t s = {0};
            cw_suspect_failed(&s, host, at_ms); // seen here or told by another host
            cw_suspect_alive(&s, sent_ms);      // a request that was sent then is being answered
            if (cw_suspect_holds(&s, now_ms) && !cw_suspect_may_try(&s, now_ms, host, server, hosts)) { ... }

    WHAT IT DOES NOT DO
        It probes nothing and sends nothing; how slow or full a server is, is
        no matter here.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* What all hosts together know of one server's life. All zero: nothing. Times in ms, 0: never. */
typedef struct cw_suspect_t {
    int64_t failed_ms;    /* latest failure that is known */
    uint64_t failed_host; /* who met it */
    uint32_t failures;    /* since the server was known to live */
    int64_t alive_ms;     /* latest sending of a request that it is known to have answered */
    int64_t tried_ms;     /* latest failure of this host's own */
} cw_suspect_t;

/* A connection of the host's to the server broke or did not come up. What is told twice counts once. */
void cw_suspect_failed(cw_suspect_t* s, uint64_t host, int64_t at_ms);
/* The same, of a request of this host's own. */
void cw_suspect_failed_here(cw_suspect_t* s, uint64_t host, int64_t at_ms);
/* The server began to answer a request that was sent at sent_ms or later. True when it ends a suspicion. */
bool cw_suspect_alive(cw_suspect_t* s, int64_t sent_ms);
/* Whether the server is suspected now. */
bool cw_suspect_holds(const cw_suspect_t* s, int64_t now_ms);
/* Whether this host, one of so many that live, may try the suspected server now. */
bool cw_suspect_may_try(const cw_suspect_t* s, int64_t now_ms, uint64_t host, uint64_t server, uint32_t hosts);
/* Age of a time that is told to others, ms: at least 1, 0 where there is none or it is too old to matter. */
uint32_t cw_suspect_age(int64_t at_ms, int64_t now_ms);

#endif /* CHALKWAY_SUSPECT_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SUSPECT_IMPL_INCLUDED
#define CHALKWAY_SUSPECT_IMPL_INCLUDED

/* Without another failure a suspicion is dropped after so long: by then five hosts in turn were to try the server, and
   where none of them had anything to send, somebody has to. */
#define _CW_SUSPECT_HOLD_MS 1000
/* One host tries the server for so long, then it is another one's turn. A few round trips and the reading of a short
   prompt, so that the one who tries is answered before the next one begins. */
#define _CW_SUSPECT_TURN_MS 200
/* Two: a sound server that loses one answer in twenty has two such in a row once in 400 requests. */
#define _CW_SUSPECT_FAILURES 2
/* News of one failure is told again with the next load; its time is known to within the way of the news. */
#define _CW_SUSPECT_SAME_MS 50

void cw_suspect_failed(cw_suspect_t* s, uint64_t host, int64_t at_ms) {
    if (at_ms <= s->alive_ms) {
        return;
    }
    bool told_again = s->failures && host == s->failed_host && at_ms < s->failed_ms + _CW_SUSPECT_SAME_MS;
    s->failures += !told_again;
    if (at_ms > s->failed_ms) {
        s->failed_ms = at_ms;
        s->failed_host = host;
    }
}

void cw_suspect_failed_here(cw_suspect_t* s, uint64_t host, int64_t at_ms) {
    cw_suspect_failed(s, host, at_ms);
    s->tried_ms = at_ms;
}

bool cw_suspect_alive(cw_suspect_t* s, int64_t sent_ms) {
    bool before = s->failures >= _CW_SUSPECT_FAILURES;
    s->alive_ms = sent_ms > s->alive_ms ? sent_ms : s->alive_ms;
    if (s->alive_ms < s->failed_ms) {
        return false;
    }
    s->failures = 0;
    return before;
}

bool cw_suspect_holds(const cw_suspect_t* s, int64_t now_ms) {
    return s->failures >= _CW_SUSPECT_FAILURES && now_ms - s->failed_ms < _CW_SUSPECT_HOLD_MS;
}

bool cw_suspect_may_try(const cw_suspect_t* s, int64_t now_ms, uint64_t host, uint64_t server, uint32_t hosts) {
    if (s->tried_ms && now_ms - s->tried_ms < _CW_SUSPECT_TURN_MS) {
        return false;
    }
    uint64_t turn = (uint64_t)(now_ms / _CW_SUSPECT_TURN_MS);
    return hosts <= 1 || cw_mix(cw_mix(host, server), turn) % hosts == 0;
}

uint32_t cw_suspect_age(int64_t at_ms, int64_t now_ms) {
    int64_t age_ms = now_ms - at_ms;
    if (!at_ms || age_ms >= _CW_SUSPECT_HOLD_MS) {
        return 0;
    }
    return age_ms > 1 ? (uint32_t)age_ms : 1;
}

#endif /* CHALKWAY_SUSPECT_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
