#ifndef CHALKWAY_FAIR_H
#define CHALKWAY_FAIR_H
/*
    chalkway_fair.h -- weighted fair queue over workspaces

    WHAT IT IS
        The queue of one tier of one shard. Each workspace has a FIFO of
        waiting items and a virtual counter: the cost it has used, divided by
        its weight. The next item is taken from the waiting workspace with
        the lowest counter. A counter is charged with an estimate when an item
        is served and corrected by the actual cost later. When an idle
        workspace has items again, its counter is raised to at least the lowest
        among those that wait, so it cannot accumulate credit. A decision
        costs O(log workspaces).

    HOW TO USE IT
        Items are indexes 0..max_items-1 into a pool of the owner's.

            cw_fair_t* q = cw_fair_setup(&(cw_fair_desc_t){.max_items = 1024});
            cw_fair_push(q, workspace_id, item);
            uint32_t item = cw_fair_pop(q);              // CW_FAIR_NONE if empty
            cw_fair_charge(q, workspace_id, weight, cost);
            cw_fair_shutdown(q);

    WHAT IT DOES NOT DO
        It has no tiers, no clock and no limits: see chalkway_shard.h.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_heap.h"
#include "chalkway_map.h"

#define CW_FAIR_NONE UINT32_MAX

typedef struct cw_fair_desc_t {
    uint32_t max_items;      /* default 1024 */
    uint32_t max_workspaces; /* counters at the same time, default 1024 */
    cw_allocator_t allocator;
} cw_fair_desc_t;

typedef struct cw_fair_t cw_fair_t;

cw_fair_t* cw_fair_setup(const cw_fair_desc_t* desc);
void cw_fair_shutdown(cw_fair_t* q);
/* Appends an item to its workspace's FIFO. Returns CW_ERR_FULL when max_workspaces other workspaces have items that
   wait. */
cw_status_t cw_fair_push(cw_fair_t* q, uint64_t workspace, uint32_t item);
/* Next item in fair order, not removed; CW_FAIR_NONE when there is none. */
uint32_t cw_fair_peek(const cw_fair_t* q);
uint32_t cw_fair_pop(cw_fair_t* q);
/* Removes an item from any position. */
void cw_fair_remove(cw_fair_t* q, uint32_t item);
/* Newest item of the waiting workspace with the highest counter: the first candidate for eviction. */
uint32_t cw_fair_peek_last(const cw_fair_t* q);
/* While is_blocked is true, the workspace's items stay queued but are not served. */
void cw_fair_set_blocked(cw_fair_t* q, uint64_t workspace, bool is_blocked);
/* Adds cost / weight to the workspace's counter; cost may be negative (a correction). */
void cw_fair_charge(cw_fair_t* q, uint64_t workspace, uint32_t weight, double cost);
uint32_t cw_fair_count(const cw_fair_t* q);
/* Number of workspaces with waiting items. */
uint32_t cw_fair_waiting_workspaces(const cw_fair_t* q);

#endif /* CHALKWAY_FAIR_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_FAIR_IMPL_INCLUDED
#define CHALKWAY_FAIR_IMPL_INCLUDED

#include <assert.h>

typedef struct _cw_fair_node_t {
    uint64_t workspace; /* 0: free */
    double counter;
    uint32_t head, tail; /* FIFO of items */
    bool is_blocked;     /* its items are not served now */
} _cw_fair_node_t;

typedef struct _cw_fair_link_t {
    uint32_t prev, next, node; /* node CW_FAIR_NONE: not queued */
} _cw_fair_link_t;

struct cw_fair_t {
    cw_fair_desc_t desc;
    cw_map_t by_workspace;
    _cw_fair_node_t* nodes;
    uint32_t* free_nodes;
    uint32_t free_count;
    cw_heap_t highest; /* waiting nodes, highest counter first */
    cw_heap_t lowest;  /* waiting nodes that may be served, lowest counter first */
    _cw_fair_link_t* links;
    uint32_t count;
    double virtual_time; /* counter of the workspace served last */
};

static cw_fair_desc_t _cw_fair_desc_defaults(const cw_fair_desc_t* desc) {
    cw_fair_desc_t d = *desc;
    d.max_items = d.max_items ? d.max_items : 1024;
    d.max_workspaces = d.max_workspaces ? d.max_workspaces : 1024;
    return d;
}

cw_fair_t* cw_fair_setup(const cw_fair_desc_t* desc) {
    cw_fair_desc_t d = _cw_fair_desc_defaults(desc);
    cw_fair_t* q = cw_alloc(&d.allocator, 1, sizeof(*q));
    q->desc = d;
    q->by_workspace = cw_map_setup(d.max_workspaces, &d.allocator);
    q->nodes = cw_alloc(&d.allocator, d.max_workspaces, sizeof(*q->nodes));
    q->free_nodes = cw_alloc(&d.allocator, d.max_workspaces, sizeof(*q->free_nodes));
    q->lowest = cw_heap_setup(d.max_workspaces, &d.allocator);
    q->highest = cw_heap_setup(d.max_workspaces, &d.allocator);
    q->links = cw_alloc(&d.allocator, d.max_items, sizeof(*q->links));
    for (uint32_t i = 0; i < d.max_workspaces; i++) {
        q->free_nodes[q->free_count++] = d.max_workspaces - 1 - i;
    }
    for (uint32_t i = 0; i < d.max_items; i++) {
        q->links[i].node = CW_FAIR_NONE;
    }
    return q;
}

void cw_fair_shutdown(cw_fair_t* q) {
    cw_allocator_t a = q->desc.allocator;
    cw_map_shutdown(&q->by_workspace);
    cw_free(&a, q->nodes);
    cw_free(&a, q->free_nodes);
    cw_heap_shutdown(&q->lowest);
    cw_heap_shutdown(&q->highest);
    cw_free(&a, q->links);
    cw_free(&a, q);
}

/* Inserts a waiting workspace into the heaps, or moves it, by its current counter. */
static void _cw_fair_update_heaps(cw_fair_t* q, uint32_t node) {
    cw_heap_set(&q->highest, node, -q->nodes[node].counter);
    if (q->nodes[node].is_blocked) {
        cw_heap_remove(&q->lowest, node);
    } else {
        cw_heap_set(&q->lowest, node, q->nodes[node].counter);
    }
}

/* Frees all idle workspaces whose counters are not above the virtual time. If there are none, frees the idle one with
   the lowest counter, which thereby loses the record of what it used. */
static void _cw_fair_reclaim(cw_fair_t* q) {
    uint32_t best = CW_FAIR_NONE;
    for (uint32_t i = 0; i < q->desc.max_workspaces; i++) {
        _cw_fair_node_t* n = &q->nodes[i];
        if (!n->workspace || cw_heap_has(&q->highest, i)) {
            continue;
        }
        if (n->counter <= q->virtual_time) {
            cw_map_remove(&q->by_workspace, n->workspace);
            n->workspace = 0;
            q->free_nodes[q->free_count++] = i;
        } else if (best == CW_FAIR_NONE || n->counter < q->nodes[best].counter) {
            best = i;
        }
    }
    if (!q->free_count && best != CW_FAIR_NONE) {
        cw_map_remove(&q->by_workspace, q->nodes[best].workspace);
        q->nodes[best].workspace = 0;
        q->free_nodes[q->free_count++] = best;
    }
}

static uint32_t _cw_fair_find_or_add_node(cw_fair_t* q, uint64_t workspace) {
    uint32_t i = cw_map_get(&q->by_workspace, workspace);
    if (i != CW_MAP_NONE) {
        return i;
    }
    if (!q->free_count) {
        _cw_fair_reclaim(q);
    }
    if (!q->free_count) {
        return CW_FAIR_NONE;
    }
    i = q->free_nodes[--q->free_count];
    q->nodes[i] = (_cw_fair_node_t){
        .workspace = workspace, .counter = q->virtual_time, .head = CW_FAIR_NONE, .tail = CW_FAIR_NONE};
    cw_map_put(&q->by_workspace, workspace, i);
    return i;
}

static double _cw_fair_lowest_counter(const cw_fair_t* q) {
    uint32_t top = cw_heap_top(&q->lowest);
    return top == CW_HEAP_NONE ? q->virtual_time : q->nodes[top].counter;
}

cw_status_t cw_fair_push(cw_fair_t* q, uint64_t workspace, uint32_t item) {
    assert(item < q->desc.max_items && q->links[item].node == CW_FAIR_NONE);
    uint32_t i = _cw_fair_find_or_add_node(q, workspace);
    if (i == CW_FAIR_NONE) {
        return CW_ERR_FULL;
    }
    _cw_fair_node_t* n = &q->nodes[i];
    q->links[item] = (_cw_fair_link_t){.prev = n->tail, .next = CW_FAIR_NONE, .node = i};
    if (n->tail == CW_FAIR_NONE) {
        n->head = item;
    } else {
        q->links[n->tail].next = item;
    }
    n->tail = item;
    q->count++;
    if (!cw_heap_has(&q->highest, i)) {
        double lowest = _cw_fair_lowest_counter(q);
        n->counter = n->counter < lowest ? lowest : n->counter;
        _cw_fair_update_heaps(q, i);
    }
    return CW_OK;
}

uint32_t cw_fair_peek(const cw_fair_t* q) {
    uint32_t top = cw_heap_top(&q->lowest);
    return top == CW_HEAP_NONE ? CW_FAIR_NONE : q->nodes[top].head;
}

void cw_fair_remove(cw_fair_t* q, uint32_t item) {
    _cw_fair_link_t link = q->links[item];
    assert(link.node != CW_FAIR_NONE);
    _cw_fair_node_t* n = &q->nodes[link.node];
    if (link.prev == CW_FAIR_NONE) {
        n->head = link.next;
    } else {
        q->links[link.prev].next = link.next;
    }
    if (link.next == CW_FAIR_NONE) {
        n->tail = link.prev;
    } else {
        q->links[link.next].prev = link.prev;
    }
    q->links[item].node = CW_FAIR_NONE;
    q->count--;
    if (n->head == CW_FAIR_NONE) {
        cw_heap_remove(&q->lowest, link.node);
        cw_heap_remove(&q->highest, link.node);
    }
}

uint32_t cw_fair_pop(cw_fair_t* q) {
    uint32_t item = cw_fair_peek(q);
    if (item != CW_FAIR_NONE) {
        q->virtual_time = q->nodes[cw_heap_top(&q->lowest)].counter;
        cw_fair_remove(q, item);
    }
    return item;
}

uint32_t cw_fair_peek_last(const cw_fair_t* q) {
    uint32_t top = cw_heap_top(&q->highest);
    return top == CW_HEAP_NONE ? CW_FAIR_NONE : q->nodes[top].tail;
}

void cw_fair_charge(cw_fair_t* q, uint64_t workspace, uint32_t weight, double cost) {
    uint32_t i = _cw_fair_find_or_add_node(q, workspace);
    if (i == CW_FAIR_NONE) {
        return;
    }
    q->nodes[i].counter += cost / (weight ? weight : 1);
    if (cw_heap_has(&q->highest, i)) {
        _cw_fair_update_heaps(q, i);
    }
}

void cw_fair_set_blocked(cw_fair_t* q, uint64_t workspace, bool is_blocked) {
    uint32_t i = cw_map_get(&q->by_workspace, workspace);
    if (i == CW_MAP_NONE) {
        return;
    }
    q->nodes[i].is_blocked = is_blocked;
    if (cw_heap_has(&q->highest, i)) {
        _cw_fair_update_heaps(q, i);
    }
}

uint32_t cw_fair_count(const cw_fair_t* q) {
    return q->count;
}

uint32_t cw_fair_waiting_workspaces(const cw_fair_t* q) {
    return q->highest.count;
}

#endif /* CHALKWAY_FAIR_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
