/* Ids that were seen within a time. */
#include "../chalkway_recent.h"
#include "test.h"

#define KEEP_MS 1000
#define CAPACITY 8

START_TEST(an_id_is_forgotten_after_its_time) {
    cw_recent_t r = cw_recent_setup(CAPACITY, KEEP_MS, NULL);
    ck_assert(!cw_recent_has(&r, 0, 5));
    cw_recent_put(&r, 100, 5);
    ck_assert(cw_recent_has(&r, 100 + KEEP_MS - 1, 5));
    ck_assert(!cw_recent_has(&r, 100 + KEEP_MS, 5));
    cw_recent_put(&r, 2000, 5);
    ck_assert(cw_recent_has(&r, 2100, 5));
    cw_recent_shutdown(&r);
}
END_TEST

/* Many ids that are seen once do not replace one that is seen again and again. */
START_TEST(an_id_that_is_seen_again_outlives_those_seen_once) {
    cw_recent_t r = cw_recent_setup(CAPACITY, KEEP_MS, NULL);
    for (uint64_t id = 100; id < 1000; id++) {
        cw_recent_put(&r, 10, 5);
        cw_recent_put(&r, 10, id);
        ck_assert(cw_recent_has(&r, 10, 5) && cw_recent_has(&r, 10, id));
    }
    ck_assert(!cw_recent_has(&r, 10, 100));
    cw_recent_shutdown(&r);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, an_id_is_forgotten_after_its_time);
    tcase_add_test(t, an_id_that_is_seen_again_outlives_those_seen_once);
}

int main(void) {
    return run_suite("recent", add_tests, 10);
}
