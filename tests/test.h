#ifndef CW_TEST_H
#define CW_TEST_H
/* Shared by all test programs: runs one suite of tests and returns the exit status of the program. */
#include <check.h>
#include <stdlib.h>

#include "../chalkway_core.h"
#include "rng.h"

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
