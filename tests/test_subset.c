/* The subset of a pool of thousands of servers that a fleet uses: hosts agree on it without communication, and it grows
   when it has no free slots. */
#include "../chalkway_subset.h"
#include "test.h"

#define SERVERS 5682
#define MIN_SERVERS UINT64_C(1024)

static uint32_t count_members(const cw_subset_t* subset, uint32_t first, uint32_t count) {
    uint32_t found = 0;
    for (uint32_t i = 0; i < count; i++) {
        found += cw_subset_has(subset, cw_mix(9, first + i));
    }
    return found;
}

START_TEST(the_subset_of_a_small_pool_is_the_whole_pool) {
    cw_subset_t subset = {.min_servers = (uint32_t)MIN_SERVERS};
    ck_assert(!cw_subset_resize(&subset, 1000, 18));
    ck_assert_uint_eq(count_members(&subset, 0, 18), 18);
    cw_subset_resize(&subset, 1000, (uint32_t)(2 * MIN_SERVERS));
    ck_assert_uint_eq(count_members(&subset, 0, (uint32_t)(2 * MIN_SERVERS)), 2 * MIN_SERVERS);
    ck_assert(!cw_subset_expand(&subset, 1000));
}
END_TEST

/* Guards against subsets that depend on the order of a host's list: of 6,003 servers, each host used the last 1,024 of
   its list. Hosts with another order used other servers, and dropped each other's load reports for them. Pattern: a
   release of 205 servers while hosts restart. */
START_TEST(hosts_whose_lists_differ_use_the_same_servers) {
    cw_subset_t one = {.min_servers = (uint32_t)MIN_SERVERS};
    cw_subset_t other = {.min_servers = (uint32_t)MIN_SERVERS};
    cw_subset_resize(&one, 1000, SERVERS);
    cw_subset_resize(&other, 5000, SERVERS - 205);
    uint32_t used = count_members(&one, 0, SERVERS);
    ck_assert_uint_ge(used, MIN_SERVERS);
    ck_assert_uint_le(used, 3 * MIN_SERVERS);
    for (uint32_t i = 0; i < SERVERS; i++) {
        ck_assert(cw_subset_has(&one, cw_mix(9, i)) == cw_subset_has(&other, cw_mix(9, i)));
    }
}
END_TEST

/* A fifth of the servers leaves at once and returns, and others join: the subset keeps its size. */
START_TEST(a_pool_that_changes_a_little_keeps_its_subset) {
    cw_subset_t subset = {.min_servers = (uint32_t)MIN_SERVERS};
    ck_assert(cw_subset_resize(&subset, 1000, SERVERS));
    uint32_t shift = subset.shift;
    ck_assert(!cw_subset_resize(&subset, 2000, SERVERS * 4 / 5));
    ck_assert(!cw_subset_resize(&subset, 3000, SERVERS * 6 / 5));
    ck_assert_uint_eq(subset.shift, shift);
    cw_subset_resize(&subset, 4000, 10000);
    ck_assert_uint_ge(count_members(&subset, 0, 10000), MIN_SERVERS);
    cw_subset_resize(&subset, 5000, 100);
    ck_assert_uint_eq(count_members(&subset, 0, 100), 100);
}
END_TEST

/* Requests find no free slot: the subset is doubled until it is the whole pool, keeps all its servers, and is not
   halved while the burst may last. */
START_TEST(a_subset_without_free_slots_is_doubled) {
    cw_subset_t subset = {.min_servers = (uint32_t)MIN_SERVERS};
    cw_subset_resize(&subset, 1000, SERVERS);
    uint32_t used = count_members(&subset, 0, SERVERS);
    for (int64_t now_ms = 2000; subset.shift; now_ms += 200) {
        cw_subset_t before = subset;
        ck_assert(cw_subset_expand(&subset, now_ms));
        ck_assert(!cw_subset_expand(&subset, now_ms + 50)); /* the slots of the first doubling are not known yet */
        for (uint32_t i = 0; i < SERVERS; i++) {
            ck_assert(!cw_subset_has(&before, cw_mix(9, i)) || cw_subset_has(&subset, cw_mix(9, i)));
        }
        ck_assert_uint_gt(count_members(&subset, 0, SERVERS), used);
        used = count_members(&subset, 0, SERVERS);
        ck_assert(!cw_subset_resize(&subset, now_ms + 10000, SERVERS));
    }
    ck_assert_uint_eq(used, SERVERS);
    ck_assert(cw_subset_resize(&subset, 200000, SERVERS));
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, the_subset_of_a_small_pool_is_the_whole_pool);
    tcase_add_test(t, hosts_whose_lists_differ_use_the_same_servers);
    tcase_add_test(t, a_pool_that_changes_a_little_keeps_its_subset);
    tcase_add_test(t, a_subset_without_free_slots_is_doubled);
}

int main(void) {
    return run_suite("subset", add_tests, 10);
}
