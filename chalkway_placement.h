#ifndef CHALKWAY_PLACEMENT_H
#define CHALKWAY_PLACEMENT_H
/*
    chalkway_placement.h -- placement of prompts with a shared part

    WHAT IT IS
        Ranks the engines of a pool for a shared prompt part by rendezvous
        hashing: every host with the same list of engines computes the same
        ranks without communication. The ranks form levels: level 0 has the
        first CW_PLACEMENT_FIRST engines, level 1 as many again, and each
        further level doubles the number of engines. A prompt is placed at the
        lowest level that can answer it in time, so a part is cached at few
        engines while they keep up, at more while they don't, and at few again
        afterwards.

    HOW TO USE IT
            for (each listed engine) {
                scores[count++] = cw_placement_score(part, engine);
            }
            cw_placement_t p = cw_placement_rank(part, scores, count, CW_PLACEMENT_LEVELS_MAX);
            cw_placement_selector_t selector = cw_placement_selector(&p, target_ms);
            for (each engine that may be chosen) {
                cw_placement_offer(&selector, &(cw_placement_candidate_t){.server = engine, .cost_ms = ...});
            }
            cw_placement_selected_t selected = cw_placement_select(&selector);

    WHAT IT DOES NOT DO
        It has no state between two prompts, and no memory of its own. It
        neither predicts a time nor weighs costs (chalkway_server_cost.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_PLACEMENT_FIRST 2       /* more than one, since one may be busy or unreachable */
#define CW_PLACEMENT_LEVELS_MAX 31 /* enough for any number of engines */
/* In a smaller pool a part is soon cached everywhere, and the last levels are nearly the whole pool. */
#define CW_PLACEMENT_ENGINES_MIN 16
/* Share of the target below which a time to the first event is acceptable. */
#define CW_PLACEMENT_TARGET_SHARE 0.5
/* Share of the target that the shared tokens have to take to prefill: below it a cache miss does not decide whether a
   response is in time. */
#define CW_PLACEMENT_SHARED_SHARE 0.05

/* Ranks of the servers for one part. */
typedef struct cw_placement_t {
    uint64_t part;
    uint32_t level_count;                          /* the last level may be empty */
    uint64_t cutoffs[CW_PLACEMENT_LEVELS_MAX + 1]; /* lowest score of each level, 0 for the last one */
    uint32_t operations;                           /* scores that were visited to compute the cutoffs */
} cw_placement_t;

/* A server that may be chosen. */
typedef struct cw_placement_candidate_t {
    uint64_t server;
    double cost_ms;        /* by which the servers of a level are compared */
    double first_event_ms; /* predicted time to the first event */
    bool is_late;          /* too late for the prompt */
} cw_placement_candidate_t;

/* The best candidate of each level so far. */
typedef struct cw_placement_selector_t {
    const cw_placement_t* placement;
    double target_ms;
    uint32_t filled_levels; /* one bit for each level with a candidate */
    cw_placement_candidate_t best[CW_PLACEMENT_LEVELS_MAX + 1];
} cw_placement_selector_t;

typedef struct cw_placement_selected_t {
    uint64_t server; /* 0: there was no candidate */
    uint32_t level;
} cw_placement_selected_t;

/* Whether a prompt is to be placed: its shared tokens take long enough to prefill, and the pool has enough engines. */
bool cw_placement_is_needed(uint32_t engines, double shared_prefill_ms, double target_ms);
/* Score of the server for the part; the highest one has rank 0. */
uint64_t cw_placement_score(uint64_t part, uint64_t server);
/* Computes the levels from the scores of all ranked servers, in O(count) expected. Reorders the scores. Servers beyond
   the first `depth` levels form one further level; depth: 1..CW_PLACEMENT_LEVELS_MAX. */
cw_placement_t cw_placement_rank(uint64_t part, uint64_t* scores, uint32_t count, uint32_t depth);
/* Level of the server. One that was not ranked gets the level of its score. */
uint32_t cw_placement_level(const cw_placement_t* p, uint64_t server);
/* The placement has to stay valid as long as the selector. */
cw_placement_selector_t cw_placement_selector(const cw_placement_t* p, double target_ms);
void cw_placement_offer(cw_placement_selector_t* selector, const cw_placement_candidate_t* candidate);
/* The best server of the lowest level where that server is not late and its first event is predicted within
   CW_PLACEMENT_TARGET_SHARE of the target. Else the best one of the lowest level with a server that is not late, so
   that a prompt counts as late only where all servers are; else the best one of the lowest level. */
cw_placement_selected_t cw_placement_select(const cw_placement_selector_t* selector);

#endif /* CHALKWAY_PLACEMENT_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PLACEMENT_IMPL_INCLUDED
#define CHALKWAY_PLACEMENT_IMPL_INCLUDED

#include <assert.h>

bool cw_placement_is_needed(uint32_t engines, double shared_prefill_ms, double target_ms) {
    return engines >= CW_PLACEMENT_ENGINES_MIN && shared_prefill_ms > CW_PLACEMENT_SHARED_SHARE * target_ms;
}

uint64_t cw_placement_score(uint64_t part, uint64_t server) {
    return cw_mix(part, server);
}

/* Moves the element that is at `index` in descending order there, no lower one before it and no higher one after it.
   Returns the number of visited elements. Scores are hashes, so any pivot is as good as a random one. */
static uint32_t _cw_placement_partition(uint64_t* scores, uint32_t count, uint32_t index) {
    int64_t first = 0;
    int64_t last = (int64_t)count - 1;
    uint32_t visited = 0;
    while (first < last) {
        uint64_t pivot = scores[first + (last - first) / 2];
        int64_t left = first;
        int64_t right = last;
        visited += (uint32_t)(last - first + 1);
        while (left <= right) {
            while (scores[left] > pivot) {
                left++;
            }
            while (scores[right] < pivot) {
                right--;
            }
            if (left <= right) {
                uint64_t score = scores[left];
                scores[left++] = scores[right];
                scores[right--] = score;
            }
        }
        if (index > right && index < left) {
            break;
        }
        last = index <= right ? right : last;
        first = index >= left ? left : first;
    }
    return visited;
}

/* Number of servers in the levels up to this one. */
static uint64_t _cw_placement_size(uint32_t level) {
    return (uint64_t)CW_PLACEMENT_FIRST << level;
}

cw_placement_t cw_placement_rank(uint64_t part, uint64_t* scores, uint32_t count, uint32_t depth) {
    assert(depth > 0 && depth <= CW_PLACEMENT_LEVELS_MAX);
    cw_placement_t p = {.part = part, .level_count = 1};
    while (p.level_count <= depth && _cw_placement_size(p.level_count - 1) <= count) {
        p.level_count++;
    }
    /* From the last level on, so that each partition works on the at most half as many scores that the previous one
       left. */
    uint32_t left = count;
    for (uint32_t level = p.level_count - 1; level-- > 0;) {
        uint32_t size = (uint32_t)_cw_placement_size(level);
        p.operations += _cw_placement_partition(scores, left, size - 1);
        p.cutoffs[level] = scores[size - 1];
        left = size;
    }
    return p;
}

uint32_t cw_placement_level(const cw_placement_t* p, uint64_t server) {
    uint64_t score = cw_placement_score(p->part, server);
    uint32_t level = p->level_count - 1;
    while (level > 0 && score >= p->cutoffs[level - 1]) {
        level--;
    }
    return level;
}

cw_placement_selector_t cw_placement_selector(const cw_placement_t* p, double target_ms) {
    return (cw_placement_selector_t){.placement = p, .target_ms = target_ms};
}

/* Ties are broken by the id, so that the order of the offers does not matter. */
static bool _cw_placement_is_better(const cw_placement_candidate_t* x, const cw_placement_candidate_t* y) {
    if (x->is_late != y->is_late) {
        return y->is_late;
    }
    return x->cost_ms < y->cost_ms || (x->cost_ms <= y->cost_ms && x->server < y->server);
}

void cw_placement_offer(cw_placement_selector_t* selector, const cw_placement_candidate_t* candidate) {
    uint32_t level = cw_placement_level(selector->placement, candidate->server);
    uint32_t bit = (uint32_t)1 << level;
    if (!(selector->filled_levels & bit) || _cw_placement_is_better(candidate, &selector->best[level])) {
        selector->filled_levels |= bit;
        selector->best[level] = *candidate;
    }
}

cw_placement_selected_t cw_placement_select(const cw_placement_selector_t* selector) {
    cw_placement_selected_t any = {0};
    for (uint32_t level = 0; level < selector->placement->level_count; level++) {
        const cw_placement_candidate_t* best = &selector->best[level];
        cw_placement_selected_t selected = {.server = best->server, .level = level};
        if (!(selector->filled_levels >> level & 1U)) {
            continue;
        }
        if (!best->is_late && best->first_event_ms <= CW_PLACEMENT_TARGET_SHARE * selector->target_ms) {
            return selected;
        }
        any = any.server ? any : selected;
    }
    return any;
}

#endif /* CHALKWAY_PLACEMENT_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
