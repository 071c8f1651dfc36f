#ifndef CHALKWAY_PREFIX_H
#define CHALKWAY_PREFIX_H
/*
    chalkway_prefix.h -- servers that cache the parts of a prompt

    WHAT IT IS
        A prompt begins with parts that it shares with other prompts. An
        engine that has them cached need not prefill them; another one may
        fetch them from it. For one prompt this module finds the server that
        has most of its start cached, and its last shared part, by which
        servers are ranked (chalkway_placement.h).

    HOW TO USE IT
            cw_prefix_t p = cw_prefix_init(parts, count);
            for (each server that may be chosen) {
                uint32_t cached = cw_prefix_cached_tokens(cache, &capacity, parts, count);
                cw_prefix_add_server(&p, server, cached);
            }

    WHAT IT DOES NOT DO
        It does not weigh cached parts against load (chalkway_server_cost.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_prefix_cache.h"

/* A part of a prompt: the id of its name, and its length. */
typedef struct cw_prompt_part_t {
    uint64_t id;
    uint32_t tokens;
} cw_prompt_part_t;

/* A server's prefix cache. */
typedef struct cw_prefix_capacity_t {
    uint64_t server;
    uint64_t prefilled_tokens; /* all tokens prefilled there, as far as known */
    double capacity_tokens;    /* capacity for parts that no running request uses */
} cw_prefix_capacity_t;

/* Cached and shared parts of one prompt. */
typedef struct cw_prefix_t {
    uint64_t best_server;      /* the server with most of the prompt's start cached, 0: none */
    uint32_t best_tokens;      /* tokens cached at best_server */
    uint64_t best_version;     /* of the software of best_server */
    uint32_t shared_tokens;    /* tokens before the last part, which is the request's own */
    uint64_t last_shared_part; /* id of the last part that other prompts share */
} cw_prefix_t;

/* Tokens at the start of the prompt that the server has cached. */
uint32_t cw_prefix_cached_tokens(const cw_prefix_cache_t* cache, const cw_prefix_capacity_t* capacity,
                                 const cw_prompt_part_t* parts, uint32_t count);
cw_prefix_t cw_prefix_init(const cw_prompt_part_t* parts, uint32_t count);
/* Adds a server that may be chosen. cached_tokens: tokens of the prompt's start that are cached there. */
void cw_prefix_add_server(cw_prefix_t* p, uint64_t server, uint32_t cached_tokens);

#endif /* CHALKWAY_PREFIX_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PREFIX_IMPL_INCLUDED
#define CHALKWAY_PREFIX_IMPL_INCLUDED

uint32_t cw_prefix_cached_tokens(const cw_prefix_cache_t* cache, const cw_prefix_capacity_t* capacity,
                                 const cw_prompt_part_t* parts, uint32_t count) {
    uint32_t tokens = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (!cw_prefix_cache_has(cache, capacity->server, parts[i].id, capacity->prefilled_tokens,
                                 capacity->capacity_tokens)) {
            break;
        }
        tokens += parts[i].tokens;
    }
    return tokens;
}

cw_prefix_t cw_prefix_init(const cw_prompt_part_t* parts, uint32_t count) {
    cw_prefix_t p = {0};
    for (uint32_t i = 0; i + 1 < count; i++) {
        p.shared_tokens += parts[i].tokens;
        p.last_shared_part = parts[i].id;
    }
    return p;
}

void cw_prefix_add_server(cw_prefix_t* p, uint64_t server, uint32_t cached_tokens) {
    if (cached_tokens > p->best_tokens) {
        p->best_server = server;
        p->best_tokens = cached_tokens;
    }
}

#endif /* CHALKWAY_PREFIX_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
