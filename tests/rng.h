#ifndef CW_TEST_RNG_H
#define CW_TEST_RNG_H
/* Seeded random numbers (splitmix64), the same on every machine. */
#include <stdint.h>

typedef struct rng_t {
    uint64_t state;
} rng_t;

/* Returns a random number below limit, or 0 if limit is 0. */
static inline uint32_t rng_below(rng_t* rng, uint32_t limit) {
    rng->state += 0x9E3779B97F4A7C15ULL;
    uint64_t z = rng->state;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return (uint32_t)((z ^ (z >> 31)) % (limit ? limit : 1));
}

#endif
