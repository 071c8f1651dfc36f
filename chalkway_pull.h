#ifndef CHALKWAY_PULL_H
#define CHALKWAY_PULL_H
/*
    chalkway_pull.h -- when, and from which peer, a newer document is fetched

    WHAT IT IS
        Many daemons hear within the same millisecond that one of them has
        something newer. If all fetched it there at once, the last would wait
        until that host's link had carried it to all others. So each waits a
        random time, the longer the more daemons there are, and then asks one
        of those that have told it by then, chosen at random: copies spread
        from the first few holders to the rest. Peers of the own hall go
        first, so that a document crosses to another hall a few times only.

    HOW TO USE IT
            cw_pull_t pull = {0};
            cw_pull_told(&pull, &(cw_pull_offer_t){...});     // with each peer's word
            const char* peer = cw_pull_due(&pull, now_ms);    // NULL: not yet
            if (peer) { fetch from it }

    WHAT IT DOES NOT DO
        No sockets. What was fetched is judged by its reader.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_PULL_PEER_MAX 48
#define CW_PULL_STEP_MS 1.5  /* wait for each daemon that may ask the same peer */
#define CW_PULL_MAX_MS 250.0 /* longest wait */

/* A peer's word that it holds a document that is wanted here. */
typedef struct cw_pull_offer_t {
    int64_t now_ms;
    uint64_t version; /* of the document; another one than before starts the choice of a peer anew */
    const char* peer; /* address at which it is read */
    bool far;         /* in another hall: it is asked only where none of the own hall has told */
    uint32_t daemons; /* that may fetch it too */
    uint64_t draw;    /* random */
} cw_pull_offer_t;

typedef struct cw_pull_t {
    bool wanted;
    uint64_t version;
    uint32_t told; /* peers that offered this version */
    int64_t due_ms;
    bool far; /* the peer stands in another hall */
    char peer[CW_PULL_PEER_MAX];
} cw_pull_t;

/* Notes an offer. The time at which the fetch is due is set by the first one. */
void cw_pull_told(cw_pull_t* pull, const cw_pull_offer_t* offer);
/* Peer to be asked now, NULL when none is; the fetch is no longer wanted then. */
const char* cw_pull_due(cw_pull_t* pull, int64_t now_ms);
/* The document has come by another way. */
void cw_pull_cancel(cw_pull_t* pull);

#endif /* CHALKWAY_PULL_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PULL_IMPL_INCLUDED
#define CHALKWAY_PULL_IMPL_INCLUDED

#include <assert.h>

static int64_t _cw_pull_wait_ms(const cw_pull_offer_t* offer) {
    double longest_ms = CW_PULL_STEP_MS * offer->daemons;
    longest_ms = longest_ms < CW_PULL_MAX_MS ? longest_ms : CW_PULL_MAX_MS;
    return (int64_t)(longest_ms * (double)(cw_mix(offer->draw, 1) & 1023U) / 1024.0);
}

void cw_pull_told(cw_pull_t* pull, const cw_pull_offer_t* offer) {
    assert(offer->peer);
    if (!pull->wanted) {
        pull->wanted = true;
        pull->due_ms = offer->now_ms + _cw_pull_wait_ms(offer);
        pull->told = 0;
    }
    if (pull->version != offer->version) {
        pull->version = offer->version;
        pull->told = 0;
    }
    if (pull->told && !pull->far && offer->far) {
        return;
    }
    pull->told = pull->far && !offer->far ? 0 : pull->told;
    pull->far = offer->far;
    pull->told++;
    if (cw_mix(offer->draw, 2) % pull->told == 0) {
        cw_copy(pull->peer, sizeof(pull->peer), offer->peer);
    }
}

const char* cw_pull_due(cw_pull_t* pull, int64_t now_ms) {
    if (!pull->wanted || now_ms < pull->due_ms) {
        return NULL;
    }
    pull->wanted = false;
    return pull->peer;
}

void cw_pull_cancel(cw_pull_t* pull) {
    pull->wanted = false;
}

#endif /* CHALKWAY_PULL_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
