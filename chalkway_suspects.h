#ifndef CHALKWAY_SUSPECTS_H
#define CHALKWAY_SUSPECTS_H
/*
    chalkway_suspects.h -- what may make a request crash servers

    WHAT IT IS
        A request that crashes servers does so by its content, or by a
        part of its prompt that other requests share: these are its suspects.
        How far the response had got when the server crashed says how likely
        the request was the cause. A host remembers the parts that it saw
        answered: they are known to be harmless, at least shortly before.

    HOW TO USE IT
            cw_suspects_t s = {.count = 1, .items = {fingerprint}};
            cw_suspects_add_part(&s, part_id); // for each part but the last, which is the request's own
            cw_known_parts_t known = cw_known_parts_setup(NULL);
            cw_known_parts_add(&known, now_ms, &s, pool);
            if (cw_known_parts_has(&known, now_ms, &s.items[1], pool)) { ... }
            cw_known_parts_shutdown(&known);

    WHAT IT DOES NOT DO
        It weighs no evidence (chalkway_quarantine.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_fingerprint.h"
#include "chalkway_recent.h"

#define CW_SUSPECTS_MAX 17 /* of a request: its content and 16 parts */

/* What may make a request crash servers. items[0] is its content, the others are parts of its prompt. */
typedef struct cw_suspects_t {
    uint64_t claim; /* under which the request has claimed trials of its parts; 0: none */
    uint32_t count;
    cw_fingerprint_t items[CW_SUSPECTS_MAX];
} cw_suspects_t;

/* How far the response to a request had got when its server crashed. The values are sent to other hosts. */
typedef enum cw_run_phase_t {
    CW_RUN_WAITING = 0, /* no response yet */
    CW_RUN_BEGINNING,   /* the head of the response only: the most suspicious phase */
    CW_RUN_STARTED,     /* the very start of the body; as suspicious as CW_RUN_WAITING */
    CW_RUN_WRITING,     /* the body for a while: the least suspicious phase */
    CW_RUN_PHASE_COUNT
} cw_run_phase_t;

/* Parts that were answered, by pool. */
typedef struct cw_known_parts_t {
    cw_recent_t answered;
} cw_known_parts_t;

/* Adds a part of the prompt unless it is already there. Parts beyond CW_SUSPECTS_MAX are left out. */
void cw_suspects_add_part(cw_suspects_t* suspects, uint64_t part_id);
/* Whether a server crashes more likely in the phase than in the other one. */
bool cw_run_phase_is_more_suspicious(cw_run_phase_t phase, cw_run_phase_t than);
/* allocator NULL: malloc. */
cw_known_parts_t cw_known_parts_setup(const cw_allocator_t* allocator);
void cw_known_parts_shutdown(cw_known_parts_t* known);
/* A request with these suspects was answered in the pool. */
void cw_known_parts_add(cw_known_parts_t* known, int64_t now_ms, const cw_suspects_t* suspects, uint32_t pool);
bool cw_known_parts_has(const cw_known_parts_t* known, int64_t now_ms, const cw_fingerprint_t* part, uint32_t pool);

#endif /* CHALKWAY_SUSPECTS_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SUSPECTS_IMPL_INCLUDED
#define CHALKWAY_SUSPECTS_IMPL_INCLUDED

#define _CW_KNOWN_PARTS_MAX 4096
#define _CW_KNOWN_PARTS_MS 600000 /* time for which an answered part counts as known */

void cw_suspects_add_part(cw_suspects_t* suspects, uint64_t part_id) {
    cw_fingerprint_t part = cw_fingerprint_of_part(part_id);
    for (uint32_t i = 0; i < suspects->count; i++) {
        if (cw_fingerprint_equal(&suspects->items[i], &part)) {
            return;
        }
    }
    if (suspects->count < CW_SUSPECTS_MAX) {
        suspects->items[suspects->count++] = part;
    }
}

/* Orders phases by how likely a server crashes in them. */
static uint32_t _cw_run_phase_suspicion(cw_run_phase_t phase) {
    return phase == CW_RUN_BEGINNING ? 2 : phase == CW_RUN_WRITING ? 0 : 1;
}

bool cw_run_phase_is_more_suspicious(cw_run_phase_t phase, cw_run_phase_t than) {
    return _cw_run_phase_suspicion(phase) > _cw_run_phase_suspicion(than);
}

cw_known_parts_t cw_known_parts_setup(const cw_allocator_t* allocator) {
    return (cw_known_parts_t){.answered = cw_recent_setup(_CW_KNOWN_PARTS_MAX, _CW_KNOWN_PARTS_MS, allocator)};
}

void cw_known_parts_shutdown(cw_known_parts_t* known) {
    cw_recent_shutdown(&known->answered);
}

static uint64_t _cw_known_parts_id(const cw_fingerprint_t* part, uint32_t pool) {
    return cw_mix(part->content_hash, pool) | 1U;
}

void cw_known_parts_add(cw_known_parts_t* known, int64_t now_ms, const cw_suspects_t* suspects, uint32_t pool) {
    for (uint32_t i = 0; i < suspects->count; i++) {
        if (cw_fingerprint_is_part(&suspects->items[i])) {
            cw_recent_put(&known->answered, now_ms, _cw_known_parts_id(&suspects->items[i], pool));
        }
    }
}

bool cw_known_parts_has(const cw_known_parts_t* known, int64_t now_ms, const cw_fingerprint_t* part, uint32_t pool) {
    return cw_recent_has(&known->answered, now_ms, _cw_known_parts_id(part, pool));
}

#endif /* CHALKWAY_SUSPECTS_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
