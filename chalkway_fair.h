#ifndef CHALKWAY_FAIR_H
#define CHALKWAY_FAIR_H
/*
    chalkway_fair.h -- fair queue over workspaces, by virtual counters

    WHAT IT IS
        The queue of one tier at one shard. Each workspace has a FIFO of
        waiting items and a counter of what it has used, divided by its
        weight. The next item comes from the waiting workspace with the
        lowest counter. Counters are charged with an estimate when an item
        is served and corrected by the real use later. A workspace that was
        idle is lifted to the lowest counter among the waiting ones, so it
        cannot save up credit. A decision costs O(log workspaces).

    HOW TO USE IT
        Items are indexes 0..max_items-1 into a pool of the caller's.

            cw_fair_t* q = cw_fair_setup(&(cw_fair_desc_t){.max_items = 1024});
            cw_fair_push(q, workspace_id, item);
            uint32_t item = cw_fair_pop(q);              // CW_FAIR_NONE if empty
            cw_fair_charge(q, workspace_id, weight, cost);
            cw_fair_shutdown(q);

    WHAT IT DOES NOT DO
        It knows no tiers, no clock and no limits: see chalkway_shard.h.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_heap.h"
#include "chalkway_map.h"

#define CW_FAIR_NONE UINT32_MAX

typedef struct cw_fair_desc_t {
    uint32_t max_items;      /* default 1024 */
    uint32_t max_workspaces; /* counters kept at once, default 1024 */
    cw_allocator_t allocator;
} cw_fair_desc_t;

typedef struct cw_fair_t cw_fair_t;

cw_fair_t* cw_fair_setup(const cw_fair_desc_t* desc);
void cw_fair_shutdown(cw_fair_t* q);
/* Appends an item to its workspace's FIFO. CW_ERR_FULL when max_workspaces all wait. */
cw_status_t cw_fair_push(cw_fair_t* q, uint64_t workspace, uint32_t item);
/* Next item in fair order without removing it. */
uint32_t cw_fair_peek(const cw_fair_t* q);
uint32_t cw_fair_pop(cw_fair_t* q);
/* Takes out an item wherever it waits. */
void cw_fair_remove(cw_fair_t* q, uint32_t item);
/* Newest item of the waiting workspace with the highest counter: the one to evict first. */
uint32_t cw_fair_last(const cw_fair_t* q);
/* Passes over a workspace's items while held is true; they keep their places. */
void cw_fair_hold(cw_fair_t* q, uint64_t workspace, bool held);
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
    bool held;           /* not to be served now */
} _cw_fair_node_t;

typedef struct _cw_fair_link_t {
    uint32_t prev, next, node; /* node CW_FAIR_NONE: not queued */
} _cw_fair_link_t;

struct cw_fair_t {
    cw_fair_desc_t desc;
    cw_map_t map;
    _cw_fair_node_t* nodes;
    uint32_t* free_nodes;
    uint32_t free_count;
    cw_heap_t highest; /* waiting nodes, highest counter first */
    cw_heap_t lowest;  /* those of them that are not held, lowest counter first */
    _cw_fair_link_t* links;
    uint32_t count;
    double floor; /* counter of the workspace served last */
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
    q->map = cw_map_setup(d.max_workspaces, &d.allocator);
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
    cw_map_shutdown(&q->map);
    cw_free(&a, q->nodes);
    cw_free(&a, q->free_nodes);
    cw_heap_shutdown(&q->lowest);
    cw_heap_shutdown(&q->highest);
    cw_free(&a, q->links);
    cw_free(&a, q);
}

/* Puts a waiting workspace into both heaps by its present counter. */
static void _cw_fair_place(cw_fair_t* q, uint32_t node) {
    cw_heap_set(&q->highest, node, -q->nodes[node].counter);
    if (q->nodes[node].held) {
        cw_heap_remove(&q->lowest, node);
    } else {
        cw_heap_set(&q->lowest, node, q->nodes[node].counter);
    }
}

/* Frees idle counters that carry no debt; if there are none, the idle one with the least debt. */
static void _cw_fair_reclaim(cw_fair_t* q) {
    uint32_t best = CW_FAIR_NONE;
    for (uint32_t i = 0; i < q->desc.max_workspaces; i++) {
        _cw_fair_node_t* n = &q->nodes[i];
        if (!n->workspace || cw_heap_has(&q->highest, i)) {
            continue;
        }
        if (n->counter <= q->floor) {
            cw_map_remove(&q->map, n->workspace);
            n->workspace = 0;
            q->free_nodes[q->free_count++] = i;
        } else if (best == CW_FAIR_NONE || n->counter < q->nodes[best].counter) {
            best = i;
        }
    }
    if (!q->free_count && best != CW_FAIR_NONE) {
        cw_map_remove(&q->map, q->nodes[best].workspace);
        q->nodes[best].workspace = 0;
        q->free_nodes[q->free_count++] = best;
    }
}

static uint32_t _cw_fair_node(cw_fair_t* q, uint64_t workspace) {
    uint32_t i = cw_map_get(&q->map, workspace);
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
    q->nodes[i] =
        (_cw_fair_node_t){.workspace = workspace, .counter = q->floor, .head = CW_FAIR_NONE, .tail = CW_FAIR_NONE};
    cw_map_put(&q->map, workspace, i);
    return i;
}

static double _cw_fair_lowest(const cw_fair_t* q) {
    uint32_t top = cw_heap_top(&q->lowest);
    return top == CW_HEAP_NONE ? q->floor : q->nodes[top].counter;
}

cw_status_t cw_fair_push(cw_fair_t* q, uint64_t workspace, uint32_t item) {
    assert(item < q->desc.max_items && q->links[item].node == CW_FAIR_NONE);
    uint32_t i = _cw_fair_node(q, workspace);
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
        double lowest = _cw_fair_lowest(q);
        n->counter = n->counter < lowest ? lowest : n->counter;
        _cw_fair_place(q, i);
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
        q->floor = q->nodes[cw_heap_top(&q->lowest)].counter;
        cw_fair_remove(q, item);
    }
    return item;
}

uint32_t cw_fair_last(const cw_fair_t* q) {
    uint32_t top = cw_heap_top(&q->highest);
    return top == CW_HEAP_NONE ? CW_FAIR_NONE : q->nodes[top].tail;
}

void cw_fair_charge(cw_fair_t* q, uint64_t workspace, uint32_t weight, double cost) {
    uint32_t i = _cw_fair_node(q, workspace);
    if (i == CW_FAIR_NONE) {
        return;
    }
    q->nodes[i].counter += cost / (weight ? weight : 1);
    if (cw_heap_has(&q->highest, i)) {
        _cw_fair_place(q, i);
    }
}

void cw_fair_hold(cw_fair_t* q, uint64_t workspace, bool held) {
    uint32_t i = cw_map_get(&q->map, workspace);
    if (i == CW_MAP_NONE) {
        return;
    }
    q->nodes[i].held = held;
    if (cw_heap_has(&q->highest, i)) {
        _cw_fair_place(q, i);
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
