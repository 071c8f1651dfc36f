/* Guards against two errors: a host that is cut off from a pool takes every server of it for down, and a host takes
   itself for cut off while a few servers, or all, are down. */
#include "../chalkway_reach.h"
#include "test.h"

#define SERVERS 9

START_TEST(broken_paths_without_any_connection_show_a_cut) {
    cw_reach_t r = {0};
    ck_assert(!cw_reach_on_path_broken(&r, 1000, SERVERS));
    ck_assert(!cw_reach_on_path_broken(&r, 1001, SERVERS));
    ck_assert(cw_reach_on_path_broken(&r, 1002, SERVERS));
    ck_assert(r.is_cut);
    ck_assert(!cw_reach_on_path_broken(&r, 1003, SERVERS)); /* reported once */
    ck_assert(cw_reach_on_connected(&r, 2000));
    ck_assert(!r.is_cut);
    ck_assert(!cw_reach_on_connected(&r, 2001));
}
END_TEST

START_TEST(a_connection_to_any_server_disproves_a_cut) {
    cw_reach_t r = {0};
    cw_reach_on_path_broken(&r, 1000, SERVERS);
    cw_reach_on_path_broken(&r, 1001, SERVERS);
    ck_assert(!cw_reach_on_connected(&r, 1002));
    for (int i = 0; i < SERVERS - 3; i++) {
        ck_assert(!cw_reach_on_path_broken(&r, 1003, SERVERS));
    }
    ck_assert(!r.is_cut);
}
END_TEST

/* A connection that was opened before the paths broke proves nothing. */
START_TEST(all_paths_of_a_small_pool_show_a_cut) {
    cw_reach_t r = {0};
    cw_reach_on_connected(&r, 900);
    ck_assert(cw_reach_on_path_broken(&r, 1000, 1));
    r = (cw_reach_t){0};
    ck_assert(!cw_reach_on_path_broken(&r, 1000, 2));
    ck_assert(cw_reach_on_path_broken(&r, 1000, 2));
}
END_TEST

/* The servers whose paths were broken leave the list one after the other. */
START_TEST(a_cut_ends_with_its_last_broken_path) {
    cw_reach_t r = {0};
    for (int i = 0; i < 3; i++) {
        cw_reach_on_path_broken(&r, 1000, SERVERS);
    }
    cw_reach_on_path_restored(&r);
    cw_reach_on_path_restored(&r);
    ck_assert(r.is_cut);
    cw_reach_on_path_restored(&r);
    ck_assert(!r.is_cut);
}
END_TEST

/* Checks are rare while nothing is open to doubt; none is made while all paths are sound. */
START_TEST(checks_decide_a_doubt_soon_and_find_the_end_of_a_cut) {
    cw_reach_t r = {0};
    uint32_t sound = 0;
    uint32_t broken = 0;
    for (int64_t now_ms = 1000; now_ms < 2000; now_ms += 10) {
        ck_assert_int_eq(cw_reach_next_check(&r, now_ms), CW_REACH_CHECK_NONE);
    }
    cw_reach_on_path_broken(&r, 2000, SERVERS);
    for (int64_t now_ms = 2000; now_ms < 2300; now_ms += 10) {
        sound += cw_reach_next_check(&r, now_ms) == CW_REACH_CHECK_SOUND;
    }
    ck_assert_uint_ge(sound, 3); /* enough to find three broken paths within a third of a second */
    cw_reach_on_path_broken(&r, 2300, SERVERS);
    cw_reach_on_path_broken(&r, 2300, SERVERS);
    for (int64_t now_ms = 2300; now_ms < 12300; now_ms += 10) {
        cw_reach_check_t check = cw_reach_next_check(&r, now_ms);
        ck_assert_int_ne(check, CW_REACH_CHECK_SOUND);
        broken += check == CW_REACH_CHECK_BROKEN;
    }
    ck_assert_uint_ge(broken, 10); /* a second at most until the end is noticed */
    ck_assert_uint_le(broken, 25);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, broken_paths_without_any_connection_show_a_cut);
    tcase_add_test(t, a_connection_to_any_server_disproves_a_cut);
    tcase_add_test(t, all_paths_of_a_small_pool_show_a_cut);
    tcase_add_test(t, a_cut_ends_with_its_last_broken_path);
    tcase_add_test(t, checks_decide_a_doubt_soon_and_find_the_end_of_a_cut);
}

int main(void) {
    return run_suite("reach", add_tests, 20);
}
