#ifndef CHALKWAY_SUSPECT_H
#define CHALKWAY_SUSPECT_H
/*
    chalkway_suspect.h -- failure detector shared by all hosts

    WHAT IT IS
        A server that crashed, or that resets every connection, runs no
        requests. To a host that has not yet had a failure there it looks
        idle and attracts all its requests. Hosts therefore report to each
        other when a connection to a server last broke or could not be
        established, and when they last sent a request that the server
        answered. After two failures later than that request the server is
        suspected: hosts exclude it for a while, except for about one host at
        a time, which probes it with a request. A response to a request that
        was sent after the failures ends the suspicion everywhere. A response
        to an earlier request proves nothing: the server may still finish it
        while it resets all others. One failure alone raises no suspicion,
        since healthy servers also lose a response now and then.

        If most of a pool is suspected, the fault is assumed to be on the
        observing side, and no server is excluded (chalkway_balance.h).

    HOW TO USE IT
            cw_suspect_t s = {0};
            cw_suspect_on_failure(&s, host, at_ms); // observed here or reported by another host
            cw_suspect_on_response(&s, sent_ms);    // a request that was sent then is being answered
            if (cw_suspect_is_active(&s, now_ms) && !cw_suspect_may_probe(&s, now_ms, host, server, hosts)) { ... }

    WHAT IT DOES NOT DO
        It sends no probes and no messages. The load and speed of a server
        have no influence.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* Failures and responses of one server, over all hosts. All zero: none known. Times in ms, 0: never. */
typedef struct cw_suspect_t {
    int64_t failed_ms;      /* time of the latest known failure */
    uint64_t failed_host;   /* host that observed it */
    uint32_t failures;      /* since answered_ms */
    int64_t answered_ms;    /* latest sending time of a request that the server is known to have answered */
    int64_t own_failure_ms; /* latest failure that this host observed itself */
} cw_suspect_t;

/* Records that a connection of the host to the server broke or could not be established. A failure that is reported
   repeatedly counts once. */
void cw_suspect_on_failure(cw_suspect_t* s, uint64_t host, int64_t at_ms);
/* Records that a connection of this host itself broke or could not be established. host: id of this host. */
void cw_suspect_on_own_failure(cw_suspect_t* s, uint64_t host, int64_t at_ms);
/* Records that the server began to answer a request that was sent at sent_ms or later. True: it ends a suspicion. */
bool cw_suspect_on_response(cw_suspect_t* s, int64_t sent_ms);
/* Whether the server is suspected now. */
bool cw_suspect_is_active(const cw_suspect_t* s, int64_t now_ms);
/* Whether this host may probe the suspected server now; hosts: number of live hosts. */
bool cw_suspect_may_probe(const cw_suspect_t* s, int64_t now_ms, uint64_t host, uint64_t server, uint32_t hosts);
/* Age, ms, of the time at_ms, for a load report: at least 1; 0: at_ms is 0 or too old to matter. */
uint32_t cw_suspect_age_ms(int64_t at_ms, int64_t now_ms);

#endif /* CHALKWAY_SUSPECT_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SUSPECT_IMPL_INCLUDED
#define CHALKWAY_SUSPECT_IMPL_INCLUDED

/* A suspicion expires this long after the last failure. By then, five time slices have passed; if no host had a request
   to probe the server with, all hosts may send to it again. */
#define _CW_SUSPECT_EXPIRY_MS 1000
/* Length of a time slice, in which one host probes the server. It covers a few round trips and the prefill of a short
   prompt, so that a probe is answered before the next slice begins. */
#define _CW_SUSPECT_SLICE_MS 200
/* Two, since a healthy server that loses one response in twenty loses two consecutive ones once in 400 requests. */
#define _CW_SUSPECT_FAILURES_MIN 2
/* Each further load report repeats a failure. Its time, computed from the reported age, varies by the transit time. */
#define _CW_SUSPECT_REPORT_JITTER_MS 50

void cw_suspect_on_failure(cw_suspect_t* s, uint64_t host, int64_t at_ms) {
    if (at_ms <= s->answered_ms) {
        return;
    }
    bool is_repeated = s->failures && host == s->failed_host && at_ms < s->failed_ms + _CW_SUSPECT_REPORT_JITTER_MS;
    s->failures += !is_repeated;
    if (at_ms > s->failed_ms) {
        s->failed_ms = at_ms;
        s->failed_host = host;
    }
}

void cw_suspect_on_own_failure(cw_suspect_t* s, uint64_t host, int64_t at_ms) {
    cw_suspect_on_failure(s, host, at_ms);
    s->own_failure_ms = at_ms;
}

bool cw_suspect_on_response(cw_suspect_t* s, int64_t sent_ms) {
    bool was_suspected = s->failures >= _CW_SUSPECT_FAILURES_MIN;
    s->answered_ms = sent_ms > s->answered_ms ? sent_ms : s->answered_ms;
    if (s->answered_ms < s->failed_ms) {
        return false;
    }
    s->failures = 0;
    return was_suspected;
}

bool cw_suspect_is_active(const cw_suspect_t* s, int64_t now_ms) {
    return s->failures >= _CW_SUSPECT_FAILURES_MIN && now_ms - s->failed_ms < _CW_SUSPECT_EXPIRY_MS;
}

bool cw_suspect_may_probe(const cw_suspect_t* s, int64_t now_ms, uint64_t host, uint64_t server, uint32_t hosts) {
    if (s->own_failure_ms && now_ms - s->own_failure_ms < _CW_SUSPECT_SLICE_MS) {
        return false;
    }
    uint64_t slice = (uint64_t)(now_ms / _CW_SUSPECT_SLICE_MS);
    return hosts <= 1 || cw_mix(cw_mix(host, server), slice) % hosts == 0;
}

uint32_t cw_suspect_age_ms(int64_t at_ms, int64_t now_ms) {
    int64_t age_ms = now_ms - at_ms;
    if (!at_ms || age_ms >= _CW_SUSPECT_EXPIRY_MS) {
        return 0;
    }
    return age_ms > 1 ? (uint32_t)age_ms : 1;
}

#endif /* CHALKWAY_SUSPECT_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
