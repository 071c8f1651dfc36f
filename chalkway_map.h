#ifndef CHALKWAY_MAP_H
#define CHALKWAY_MAP_H
/*
    chalkway_map.h -- fixed-size map from 64-bit ids to pool indexes

    WHAT IT IS
        An open-addressing hash table (linear probing, backward-shift
        deletion) whose memory is allocated once at setup. It indexes the
        pools of the modules that must not allocate on the hot path. uthash,
        which grows its buckets as it fills, is used only elsewhere.

    HOW TO USE IT
            cw_map_t map = cw_map_setup(1000, NULL);
            cw_map_put(&map, id, index);
            uint32_t index = cw_map_get(&map, id);   // CW_MAP_NONE if absent
            cw_map_remove(&map, id);
            cw_map_shutdown(&map);

    WHAT IT DOES NOT DO
        It does not grow by itself: adding more than capacity ids fails an
        assertion; cw_map_reserve allocates memory for more. Id 0 is not a
        valid key.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_MAP_NONE UINT32_MAX

typedef struct _cw_map_slot_t {
    uint64_t key; /* 0: empty */
    uint32_t value;
} _cw_map_slot_t;

typedef struct cw_map_t {
    cw_allocator_t allocator;
    _cw_map_slot_t* slots;
    uint32_t mask;
    uint32_t count;
    uint32_t capacity;
} cw_map_t;

/* Creates a map for at most capacity ids. allocator may be NULL. */
cw_map_t cw_map_setup(uint32_t capacity, const cw_allocator_t* allocator);
void cw_map_shutdown(cw_map_t* map);
/* Grows the map to hold capacity ids; does nothing when it already can. */
void cw_map_reserve(cw_map_t* map, uint32_t capacity);
/* Adds or replaces. */
void cw_map_put(cw_map_t* map, uint64_t key, uint32_t value);
/* Returns the value or CW_MAP_NONE. */
uint32_t cw_map_get(const cw_map_t* map, uint64_t key);
/* Returns whether the key was present. */
bool cw_map_remove(cw_map_t* map, uint64_t key);

#endif /* CHALKWAY_MAP_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_MAP_IMPL_INCLUDED
#define CHALKWAY_MAP_IMPL_INCLUDED

#include <assert.h>

static uint32_t _cw_map_home(const cw_map_t* map, uint64_t key) {
    key ^= key >> 32;
    key *= 0x9E3779B97F4A7C15ULL;
    return (uint32_t)(key >> 32) & map->mask;
}

cw_map_t cw_map_setup(uint32_t capacity, const cw_allocator_t* allocator) {
    assert(capacity > 0);
    cw_map_t map = {.capacity = capacity};
    if (allocator) {
        map.allocator = *allocator;
    }
    uint32_t size = 8;
    while (size < capacity * 2) {
        size *= 2;
    }
    map.mask = size - 1;
    map.slots = cw_alloc(&map.allocator, size, sizeof(_cw_map_slot_t));
    return map;
}

void cw_map_shutdown(cw_map_t* map) {
    cw_free(&map->allocator, map->slots);
    map->slots = NULL;
}

/* Slot that holds the key, or the empty slot in which to insert it. */
static uint32_t _cw_map_find(const cw_map_t* map, uint64_t key) {
    uint32_t i = _cw_map_home(map, key);
    while (map->slots[i].key && map->slots[i].key != key) {
        i = (i + 1) & map->mask;
    }
    return i;
}

void cw_map_put(cw_map_t* map, uint64_t key, uint32_t value) {
    assert(key != 0);
    uint32_t i = _cw_map_find(map, key);
    if (!map->slots[i].key) {
        assert(map->count < map->capacity);
        map->slots[i].key = key;
        map->count++;
    }
    map->slots[i].value = value;
}

void cw_map_reserve(cw_map_t* map, uint32_t capacity) {
    if (capacity <= map->capacity) {
        return;
    }
    cw_map_t larger = cw_map_setup(capacity, &map->allocator);
    for (uint32_t i = 0; i <= map->mask; i++) {
        if (map->slots[i].key) {
            cw_map_put(&larger, map->slots[i].key, map->slots[i].value);
        }
    }
    cw_map_shutdown(map);
    *map = larger;
}

uint32_t cw_map_get(const cw_map_t* map, uint64_t key) {
    if (!key) {
        return CW_MAP_NONE;
    }
    uint32_t i = _cw_map_find(map, key);
    return map->slots[i].key ? map->slots[i].value : CW_MAP_NONE;
}

bool cw_map_remove(cw_map_t* map, uint64_t key) {
    if (!key) {
        return false;
    }
    uint32_t hole = _cw_map_find(map, key);
    if (!map->slots[hole].key) {
        return false;
    }
    uint32_t i = hole;
    for (;;) {
        i = (i + 1) & map->mask;
        if (!map->slots[i].key) {
            break;
        }
        uint32_t home = _cw_map_home(map, map->slots[i].key);
        uint32_t from_home = (i - home) & map->mask;
        uint32_t from_hole = (i - hole) & map->mask;
        if (from_home >= from_hole) {
            map->slots[hole] = map->slots[i];
            hole = i;
        }
    }
    map->slots[hole].key = 0;
    map->count--;
    return true;
}

#endif /* CHALKWAY_MAP_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
