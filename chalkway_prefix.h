#ifndef CHALKWAY_PREFIX_H
#define CHALKWAY_PREFIX_H
/*
    chalkway_prefix.h -- where the parts of a prompt are kept, and where they belong

    WHAT IT IS
        A prompt begins with parts that other prompts begin with too. An
        engine that keeps them need not read them; one that doesn't may fetch
        them from one that does. For one prompt this notes which server keeps
        most of its start, and which servers own its last shared part: the
        first ones for it by rendezvous hashing over those that may be chosen,
        so that all hosts name the same without asking, and one that goes
        passes its parts on to the next.

    HOW TO USE IT
            cw_prefix_t p = cw_prefix_new(parts, count);
            for (each server that may be chosen) { cw_prefix_see(&p, server, cw_prefix_kept(kept, &memory, parts,
   count)); } if (cw_prefix_owns(&p, server)) { ... }

    WHAT IT DOES NOT DO
        It doesn't say what a part's place is worth (chalkway_balance.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_kept.h"

#define CW_PREFIX_OWNERS 2 /* one may be busy, or gone */

/* A part of a prompt: its name's id and its length. */
typedef struct cw_work_part_t {
    uint64_t id;
    uint32_t tokens;
} cw_work_part_t;

/* A server's memory for prompt parts. */
typedef struct cw_prefix_memory_t {
    uint64_t server;
    uint64_t read_tokens; /* all that was read there, as far as known */
    double room_tokens;   /* for parts that no running request uses */
} cw_prefix_memory_t;

/* What is known of one prompt's parts. */
typedef struct cw_prefix_t {
    uint64_t holder;                  /* the server that keeps most of the prompt, 0: none keeps any */
    uint32_t held;                    /* tokens that it keeps */
    uint32_t shared;                  /* tokens before the last part, which is the request's own */
    uint64_t part;                    /* the last shared part */
    uint64_t owner[CW_PREFIX_OWNERS]; /* scores of its owners, the highest first */
} cw_prefix_t;

/* Tokens at the start of the prompt that the server keeps. */
uint32_t cw_prefix_kept(const cw_kept_t* kept, const cw_prefix_memory_t* memory, const cw_work_part_t* parts,
                        uint32_t count);
cw_prefix_t cw_prefix_new(const cw_work_part_t* parts, uint32_t count);
/* A server that may be chosen, and keeps so many tokens of the prompt's start. may_own: it takes all that it has room
   for, so that prompts may be sent to it for the parts that they share. */
void cw_prefix_see(cw_prefix_t* p, uint64_t server, uint32_t kept, bool may_own);
/* Whether the server, one of those seen that may own, owns the last shared part. */
bool cw_prefix_owns(const cw_prefix_t* p, uint64_t server);

#endif /* CHALKWAY_PREFIX_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PREFIX_IMPL_INCLUDED
#define CHALKWAY_PREFIX_IMPL_INCLUDED

uint32_t cw_prefix_kept(const cw_kept_t* kept, const cw_prefix_memory_t* memory, const cw_work_part_t* parts,
                        uint32_t count) {
    uint32_t tokens = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (!cw_kept_has(kept, memory->server, parts[i].id, memory->read_tokens, memory->room_tokens)) {
            break;
        }
        tokens += parts[i].tokens;
    }
    return tokens;
}

cw_prefix_t cw_prefix_new(const cw_work_part_t* parts, uint32_t count) {
    cw_prefix_t p = {0};
    for (uint32_t i = 0; i + 1 < count; i++) {
        p.shared += parts[i].tokens;
        p.part = parts[i].id;
    }
    return p;
}

static uint64_t _cw_prefix_score(const cw_prefix_t* p, uint64_t server) {
    return cw_mix(p->part, server);
}

void cw_prefix_see(cw_prefix_t* p, uint64_t server, uint32_t kept, bool may_own) {
    if (kept > p->held) {
        p->holder = server;
        p->held = kept;
    }
    uint64_t score = p->shared && may_own ? _cw_prefix_score(p, server) : 0;
    for (uint32_t i = 0; i < CW_PREFIX_OWNERS; i++) {
        if (score > p->owner[i]) {
            uint64_t lower = p->owner[i];
            p->owner[i] = score;
            score = lower;
        }
    }
}

bool cw_prefix_owns(const cw_prefix_t* p, uint64_t server) {
    return p->shared && _cw_prefix_score(p, server) >= p->owner[CW_PREFIX_OWNERS - 1];
}

#endif /* CHALKWAY_PREFIX_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
