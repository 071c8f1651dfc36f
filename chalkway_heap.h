#ifndef CHALKWAY_HEAP_H
#define CHALKWAY_HEAP_H
/*
    chalkway_heap.h -- fixed-size min-heap of pool indexes

    WHAT IT IS
        A binary heap over the indexes 0..capacity-1, each with a key. It
        tracks the position of every index, so changing a key or removing an
        index takes O(log n). Used for expiry times and virtual counters.

    HOW TO USE IT
            cw_heap_t heap = cw_heap_setup(100, NULL);
            cw_heap_set(&heap, 7, 12.5);        // insert or change the key
            uint32_t first = cw_heap_top(&heap); // CW_HEAP_NONE when empty
            cw_heap_remove(&heap, first);
            cw_heap_shutdown(&heap);

    WHAT IT DOES NOT DO
        Indexes with equal keys have no defined order.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_HEAP_NONE UINT32_MAX

typedef struct cw_heap_t {
    cw_allocator_t allocator;
    uint32_t* order; /* indexes, lowest key first */
    uint32_t* pos;   /* index -> position in order, CW_HEAP_NONE if absent */
    double* keys;    /* by index */
    uint32_t count;
    uint32_t capacity;
} cw_heap_t;

cw_heap_t cw_heap_setup(uint32_t capacity, const cw_allocator_t* allocator);
void cw_heap_shutdown(cw_heap_t* heap);
/* Inserts the index or changes its key. */
void cw_heap_set(cw_heap_t* heap, uint32_t index, double key);
/* Does nothing when the index is absent. */
void cw_heap_remove(cw_heap_t* heap, uint32_t index);
bool cw_heap_has(const cw_heap_t* heap, uint32_t index);
/* Index with the lowest key, or CW_HEAP_NONE. */
uint32_t cw_heap_top(const cw_heap_t* heap);
/* Key of an index that is in the heap. */
double cw_heap_key(const cw_heap_t* heap, uint32_t index);

#endif /* CHALKWAY_HEAP_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_HEAP_IMPL_INCLUDED
#define CHALKWAY_HEAP_IMPL_INCLUDED

#include <assert.h>

cw_heap_t cw_heap_setup(uint32_t capacity, const cw_allocator_t* allocator) {
    cw_heap_t heap = {.capacity = capacity};
    if (allocator) {
        heap.allocator = *allocator;
    }
    heap.order = cw_alloc(&heap.allocator, capacity, sizeof(*heap.order));
    heap.pos = cw_alloc(&heap.allocator, capacity, sizeof(*heap.pos));
    heap.keys = cw_alloc(&heap.allocator, capacity, sizeof(*heap.keys));
    for (uint32_t i = 0; i < capacity; i++) {
        heap.pos[i] = CW_HEAP_NONE;
    }
    return heap;
}

void cw_heap_shutdown(cw_heap_t* heap) {
    cw_free(&heap->allocator, heap->order);
    cw_free(&heap->allocator, heap->pos);
    cw_free(&heap->allocator, heap->keys);
}

static void _cw_heap_set_pos(cw_heap_t* heap, uint32_t pos, uint32_t index) {
    heap->order[pos] = index;
    heap->pos[index] = pos;
}

static void _cw_heap_sift_up(cw_heap_t* heap, uint32_t pos) {
    uint32_t index = heap->order[pos];
    while (pos > 0) {
        uint32_t parent = (pos - 1) / 2;
        if (heap->keys[heap->order[parent]] <= heap->keys[index]) {
            break;
        }
        _cw_heap_set_pos(heap, pos, heap->order[parent]);
        pos = parent;
    }
    _cw_heap_set_pos(heap, pos, index);
}

static void _cw_heap_sift_down(cw_heap_t* heap, uint32_t pos) {
    uint32_t index = heap->order[pos];
    for (;;) {
        uint32_t child = 2 * pos + 1;
        if (child >= heap->count) {
            break;
        }
        if (child + 1 < heap->count && heap->keys[heap->order[child + 1]] < heap->keys[heap->order[child]]) {
            child++;
        }
        if (heap->keys[heap->order[child]] >= heap->keys[index]) {
            break;
        }
        _cw_heap_set_pos(heap, pos, heap->order[child]);
        pos = child;
    }
    _cw_heap_set_pos(heap, pos, index);
}

void cw_heap_set(cw_heap_t* heap, uint32_t index, double key) {
    assert(index < heap->capacity);
    heap->keys[index] = key;
    if (heap->pos[index] == CW_HEAP_NONE) {
        _cw_heap_set_pos(heap, heap->count++, index);
    }
    _cw_heap_sift_up(heap, heap->pos[index]);
    _cw_heap_sift_down(heap, heap->pos[index]);
}

void cw_heap_remove(cw_heap_t* heap, uint32_t index) {
    uint32_t pos = heap->pos[index];
    if (pos == CW_HEAP_NONE) {
        return;
    }
    uint32_t last = heap->order[--heap->count];
    heap->pos[index] = CW_HEAP_NONE;
    if (last != index) {
        _cw_heap_set_pos(heap, pos, last);
        _cw_heap_sift_up(heap, pos);
        _cw_heap_sift_down(heap, heap->pos[last]);
    }
}

bool cw_heap_has(const cw_heap_t* heap, uint32_t index) {
    return heap->pos[index] != CW_HEAP_NONE;
}

uint32_t cw_heap_top(const cw_heap_t* heap) {
    return heap->count ? heap->order[0] : CW_HEAP_NONE;
}

double cw_heap_key(const cw_heap_t* heap, uint32_t index) {
    return heap->keys[index];
}

#endif /* CHALKWAY_HEAP_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
