#ifndef CW_TEST_H
#define CW_TEST_H
/* What every test program shares: one suite, its result as the exit status, random numbers by seed. */
#include <check.h>
#include <stdlib.h>

#include "../chalkway_core.h"

/* A generator of its own, so that a seed gives the same numbers on every machine. */
typedef struct rng_t {
    uint64_t state;
} rng_t;

static inline uint32_t rng_below(rng_t* rng, uint32_t limit) {
    rng->state += 0x9E3779B97F4A7C15ULL;
    uint64_t z = rng->state;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return (uint32_t)((z ^ (z >> 31)) % limit);
}

static inline int run_suite(const char* name, void (*add)(TCase* tests), double timeout_s) {
    Suite* suite = suite_create(name);
    TCase* tests = tcase_create(name);
    tcase_set_timeout(tests, timeout_s);
    add(tests);
    suite_add_tcase(suite, tests);
    SRunner* runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
