#ifndef CHALKWAY_PULL_H
#define CHALKWAY_PULL_H
/*
    chalkway_pull.h -- when, and from which peer, a newer document is fetched

    WHAT IT IS
        Many daemons learn within the same millisecond that one of them has
        a newer document. If all of them fetched it there at once, the last
        one would wait until that host's link had carried all the other
        copies. So each daemon waits a random time, which is longer in a
        larger fleet, and then asks one of the peers that have offered the
        document by then, chosen at random: copies spread from the first few
        holders to the rest. Peers of the own hall are preferred, so that
        only a few copies are sent between halls.

    HOW TO USE IT
            cw_pull_t pull = {0};
            cw_pull_add_offer(&pull, &(cw_pull_offer_t){...});     // for each offer of a peer
            const char* peer = cw_pull_due(&pull, now_ms);    // NULL: not yet
            if (peer) { fetch the document from it }

    WHAT IT DOES NOT DO
        No sockets. It doesn't check the document that was fetched.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_PULL_PEER_MAX 48
#define CW_PULL_DELAY_PER_DAEMON_MS 1.5 /* longest delay, per daemon that may ask the same peer */
#define CW_PULL_DELAY_MAX_MS 250.0      /* upper bound of the delay */

/* A peer has a newer document and offers it. */
typedef struct cw_pull_offer_t {
    int64_t now_ms;
    uint64_t version; /* of the document; a version that differs from the last offer's discards earlier offers */
    const char* peer; /* address that serves the document */
    bool is_remote;   /* the peer is in another hall: it is asked only if no peer of the own hall made an offer */
    uint32_t daemons; /* number of daemons that may fetch the document too */
    uint64_t random;  /* random number */
} cw_pull_offer_t;

typedef struct cw_pull_t {
    bool is_pending; /* a fetch is pending */
    uint64_t version;
    uint32_t offer_count;        /* offers of this version among which the peer was chosen */
    int64_t due_ms;              /* when the fetch is to start */
    bool is_remote;              /* the peer is in another hall */
    char peer[CW_PULL_PEER_MAX]; /* address of the chosen peer */
} cw_pull_t;

/* Adds an offer. The first one sets the time at which the fetch is due. */
void cw_pull_add_offer(cw_pull_t* pull, const cw_pull_offer_t* offer);
/* Returns the peer to fetch from now and ends the pending fetch; NULL: no fetch is due. */
const char* cw_pull_due(cw_pull_t* pull, int64_t now_ms);
/* Ends the pending fetch: the document was received in another way. */
void cw_pull_cancel(cw_pull_t* pull);

#endif /* CHALKWAY_PULL_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PULL_IMPL_INCLUDED
#define CHALKWAY_PULL_IMPL_INCLUDED

#include <assert.h>

static int64_t _cw_pull_delay_ms(const cw_pull_offer_t* offer) {
    double longest_ms = CW_PULL_DELAY_PER_DAEMON_MS * offer->daemons;
    longest_ms = longest_ms < CW_PULL_DELAY_MAX_MS ? longest_ms : CW_PULL_DELAY_MAX_MS;
    return (int64_t)(longest_ms * (double)(cw_mix(offer->random, 1) & 1023U) / 1024.0);
}

void cw_pull_add_offer(cw_pull_t* pull, const cw_pull_offer_t* offer) {
    assert(offer->peer);
    if (!pull->is_pending) {
        pull->is_pending = true;
        pull->due_ms = offer->now_ms + _cw_pull_delay_ms(offer);
        pull->offer_count = 0;
    }
    if (pull->version != offer->version) {
        pull->version = offer->version;
        pull->offer_count = 0;
    }
    if (pull->offer_count && !pull->is_remote && offer->is_remote) {
        return;
    }
    pull->offer_count = pull->is_remote && !offer->is_remote ? 0 : pull->offer_count;
    pull->is_remote = offer->is_remote;
    pull->offer_count++;
    if (cw_mix(offer->random, 2) % pull->offer_count == 0) {
        cw_copy(pull->peer, sizeof(pull->peer), offer->peer);
    }
}

const char* cw_pull_due(cw_pull_t* pull, int64_t now_ms) {
    if (!pull->is_pending || now_ms < pull->due_ms) {
        return NULL;
    }
    pull->is_pending = false;
    return pull->peer;
}

void cw_pull_cancel(cw_pull_t* pull) {
    pull->is_pending = false;
}

#endif /* CHALKWAY_PULL_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
