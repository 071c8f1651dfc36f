#ifndef CHALKWAY_HANDOVER_H
#define CHALKWAY_HANDOVER_H
/*
    chalkway_handover.h -- how a host that starts takes over what others know

    WHAT IT IS
        Some knowledge is sent once, to the hosts that are alive when it
        arises. A host that starts requests it, page by page, from hosts that
        have run for longer. Each reply says for how long its sender has known
        everything. When that is long enough, or CW_HANDOVER_SOURCES hosts
        (see sources below) have replied in full, the handover is settled. Requests and replies
        may be lost; a source that doesn't reply is replaced by another one.

        Hosts that don't know this one yet may send something new while the
        pages are under way, and it misses that. So the handover continues
        at its last source for CW_HANDOVER_FOLLOW_MS. A host that finds no
        other one, or none that replies, settles without, but goes on trying.

    HOW TO USE IT
            cw_handover_t h = {0};
            cw_handover_begin(&h, &(cw_handover_desc_t){.now_ms = now, .enough_ms = 30000});
            // about every 25 ms, candidates: hosts that have run for longest first
            cw_handover_request_t r;
            if (cw_handover_next(&h, now, candidates, count, &r)) { send(r.host, r.cursor); }
            // for each reply; apply its items if true
            cw_handover_on_page(&h, now, host, &page);
            bool is_settled = cw_handover_is_settled(&h);

    WHAT IT DOES NOT DO
        It has no sockets and doesn't know what is handed over. The meaning
        of a cursor is up to the source; 0 is the first page.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_HANDOVER_SOURCES 4         /* hosts that reply in full, unless one has known everything for long enough */
#define CW_HANDOVER_SOURCES_MAX 16    /* of a handover that asks for more */
#define CW_HANDOVER_REPLY_MS 100      /* time for a reply */
#define CW_HANDOVER_SENDS 3           /* of a request, until another host is asked */
#define CW_HANDOVER_DISCOVERY_MS 1000 /* time to get to know the other hosts */
#define CW_HANDOVER_FOLLOW_INTERVAL_MS 500
#define CW_HANDOVER_FOLLOW_MS 3000     /* from the begin: until all hosts know this one */
#define CW_HANDOVER_RETRY_MS 5000      /* between attempts of a host that settled without a source */
#define CW_HANDOVER_CANDIDATES_MIN 3   /* the source is chosen among at least this many of the oldest hosts */
#define CW_HANDOVER_CANDIDATES_SHARE 4 /* and at least one in this many, so that no host serves all that start */

typedef struct cw_handover_desc_t {
    int64_t now_ms;
    uint32_t enough_ms; /* a source that has known everything for this long is enough */
    uint32_t sources;   /* else, hosts that reply in full, up to CW_HANDOVER_SOURCES_MAX; default CW_HANDOVER_SOURCES */
    bool is_uniform;    /* any host is as good a source as the oldest ones */
    uint64_t seed;      /* of the choice of sources */
} cw_handover_desc_t;

typedef struct cw_handover_request_t {
    uint64_t host;
    uint64_t cursor;
} cw_handover_request_t;

/* The head of a reply. */
typedef struct cw_handover_page_t {
    uint64_t cursor;   /* of the request */
    uint64_t next;     /* of the next page */
    bool is_last;      /* there are no further items now; next is where later ones will be */
    uint32_t known_ms; /* for how long the source has known everything; 0: it doesn't */
} cw_handover_page_t;

typedef struct cw_handover_t {
    cw_handover_desc_t desc;
    uint64_t source; /* host that is asked, 0: none */
    uint64_t cursor;
    int64_t due_ms;                             /* of the next request, or the repetition of the last one */
    uint32_t sends;                             /* of this request */
    uint64_t complete[CW_HANDOVER_SOURCES_MAX]; /* hosts that have replied in full */
    uint32_t complete_count;
    uint64_t last_source, last_cursor; /* where the handover continues once it is settled */
    uint64_t failed;                   /* host that did not reply, passed over once */
    int64_t known_from_ms;             /* this host knows everything from then on; 0: from its start */
    int64_t candidates_ms;             /* when there was a candidate last */
    bool is_settled, is_over;
    uint64_t choices; /* random choices made so far */
} cw_handover_t;

void cw_handover_begin(cw_handover_t* h, const cw_handover_desc_t* desc);
/* Whether cw_handover_next has anything to decide: a caller that lists candidates at some cost does so only then. */
bool cw_handover_is_due(const cw_handover_t* h, int64_t now_ms);
/* Whether a request is to be sent now. candidates: other hosts that are alive, those that have run for longest first.
 */
bool cw_handover_next(cw_handover_t* h, int64_t now_ms, const uint64_t* candidates, uint32_t count,
                      cw_handover_request_t* request);
/* A page has arrived. False: it answers no request that is under way. */
bool cw_handover_on_page(cw_handover_t* h, int64_t now_ms, uint64_t host, const cw_handover_page_t* page);
/* Whether this host knows as much as it can learn: enough hosts have replied in full, or there is no other host. */
bool cw_handover_is_settled(const cw_handover_t* h);
/* The time from which on this host knows everything; own_ms: what it would be without other hosts. */
int64_t cw_handover_known_from_ms(const cw_handover_t* h, int64_t own_ms);

#endif /* CHALKWAY_HANDOVER_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_HANDOVER_IMPL_INCLUDED
#define CHALKWAY_HANDOVER_IMPL_INCLUDED

#include <assert.h>

void cw_handover_begin(cw_handover_t* h, const cw_handover_desc_t* desc) {
    assert(desc->sources <= CW_HANDOVER_SOURCES_MAX);
    *h = (cw_handover_t){.desc = *desc, .due_ms = desc->now_ms, .candidates_ms = desc->now_ms};
    h->desc.sources = desc->sources ? desc->sources : CW_HANDOVER_SOURCES;
}

bool cw_handover_is_due(const cw_handover_t* h, int64_t now_ms) {
    return !h->is_over && now_ms >= h->due_ms;
}

static bool _cw_handover_is_complete(const cw_handover_t* h, uint64_t host) {
    for (uint32_t i = 0; i < h->complete_count; i++) {
        if (h->complete[i] == host) {
            return true;
        }
    }
    return false;
}

/* A host that has not replied in full yet, at random among the oldest or all; 0: there is none. */
static uint64_t _cw_handover_choose(cw_handover_t* h, const uint64_t* candidates, uint32_t count) {
    uint32_t oldest = count / CW_HANDOVER_CANDIDATES_SHARE;
    oldest = oldest > CW_HANDOVER_CANDIDATES_MIN ? oldest : CW_HANDOVER_CANDIDATES_MIN;
    uint64_t eligible[2]; /* the second one replaces a host that has just failed */
    uint32_t eligible_count = 0;
    uint32_t among = oldest < count && !h->desc.is_uniform ? oldest : count;
    uint32_t start = (uint32_t)(cw_mix(h->desc.seed, ++h->choices) % among);
    for (uint32_t k = 0; k < count && eligible_count < 2; k++) {
        uint64_t host = candidates[(start + k) % count];
        if (!_cw_handover_is_complete(h, host)) {
            eligible[eligible_count++] = host;
        }
    }
    if (!eligible_count) {
        return 0;
    }
    uint64_t chosen = eligible[0] == h->failed && eligible_count > 1 ? eligible[1] : eligible[0];
    h->failed = 0;
    return chosen;
}

static bool _cw_handover_is_candidate(const uint64_t* candidates, uint32_t count, uint64_t host) {
    for (uint32_t i = 0; i < count; i++) {
        if (candidates[i] == host) {
            return true;
        }
    }
    return false;
}

/* Gives up a source that doesn't reply or has ended, and chooses another one. */
static void _cw_handover_update_source(cw_handover_t* h, int64_t now_ms, const uint64_t* candidates, uint32_t count) {
    bool has_failed = h->sends >= CW_HANDOVER_SENDS || !_cw_handover_is_candidate(candidates, count, h->source);
    if (h->source && !has_failed) {
        return;
    }
    h->failed = h->source;
    h->source = _cw_handover_choose(h, candidates, count);
    h->cursor = 0;
    h->sends = 0;
    if (!h->source) { /* all have replied; further ones may become known */
        h->is_settled = h->is_settled || now_ms - h->desc.now_ms >= CW_HANDOVER_DISCOVERY_MS;
        h->source = _cw_handover_is_candidate(candidates, count, h->last_source) ? h->last_source : 0;
        h->cursor = h->last_cursor;
    }
}

/* Whether the handover is over, or waits. */
static bool _cw_handover_is_idle(cw_handover_t* h, int64_t now_ms, uint32_t candidates) {
    int64_t age_ms = now_ms - h->desc.now_ms;
    h->candidates_ms = candidates ? now_ms : h->candidates_ms;
    h->is_settled =
        h->is_settled || age_ms > CW_HANDOVER_FOLLOW_MS || now_ms - h->candidates_ms >= CW_HANDOVER_DISCOVERY_MS;
    h->is_over = h->is_over || (h->complete_count && age_ms > CW_HANDOVER_FOLLOW_MS);
    return h->is_over || !candidates || now_ms < h->due_ms;
}

bool cw_handover_next(cw_handover_t* h, int64_t now_ms, const uint64_t* candidates, uint32_t count,
                      cw_handover_request_t* request) {
    if (_cw_handover_is_idle(h, now_ms, count)) {
        return false;
    }
    _cw_handover_update_source(h, now_ms, candidates, count);
    if (!h->source) {
        h->due_ms = now_ms + CW_HANDOVER_REPLY_MS;
        return false;
    }
    bool is_retry = now_ms - h->desc.now_ms > CW_HANDOVER_FOLLOW_MS && h->sends + 1 == CW_HANDOVER_SENDS;
    *request = (cw_handover_request_t){.host = h->source, .cursor = h->cursor};
    h->due_ms = now_ms + (is_retry ? CW_HANDOVER_RETRY_MS : CW_HANDOVER_REPLY_MS);
    h->sends++;
    return true;
}

static void _cw_handover_on_last_page(cw_handover_t* h, int64_t now_ms, const cw_handover_page_t* page) {
    int64_t known_from_ms = now_ms - page->known_ms;
    if (page->known_ms && (!h->known_from_ms || known_from_ms < h->known_from_ms)) {
        h->known_from_ms = known_from_ms;
    }
    bool is_new = !_cw_handover_is_complete(h, h->source);
    if (is_new && h->complete_count < h->desc.sources) {
        h->complete[h->complete_count++] = h->source;
    }
    h->last_source = h->source;
    h->last_cursor = h->cursor;
    bool is_enough = page->known_ms >= h->desc.enough_ms || h->complete_count == h->desc.sources;
    h->is_settled = h->is_settled || is_enough;
    h->source = is_enough ? h->source : 0;
    h->due_ms = is_new && !is_enough ? now_ms : now_ms + CW_HANDOVER_FOLLOW_INTERVAL_MS;
}

bool cw_handover_on_page(cw_handover_t* h, int64_t now_ms, uint64_t host, const cw_handover_page_t* page) {
    if (h->is_over || !host || host != h->source || page->cursor != h->cursor || !h->sends) {
        return false;
    }
    h->cursor = page->next;
    h->sends = 0;
    h->due_ms = now_ms;
    if (page->is_last) {
        _cw_handover_on_last_page(h, now_ms, page);
    }
    return true;
}

bool cw_handover_is_settled(const cw_handover_t* h) {
    return h->is_settled;
}

int64_t cw_handover_known_from_ms(const cw_handover_t* h, int64_t own_ms) {
    return h->known_from_ms && h->known_from_ms < own_ms ? h->known_from_ms : own_ms;
}

#endif /* CHALKWAY_HANDOVER_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
