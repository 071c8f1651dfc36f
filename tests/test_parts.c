/* Small modules: map, heap, fair queue, histogram, limits, rendezvous hashing, stream, settings, log. */
#include <stdio.h>
#include <string.h>

#include "../chalkway_fair.h"
#include "../chalkway_hist.h"
#include "../chalkway_limit.h"
#include "../chalkway_log.h"
#include "../chalkway_rendezvous.h"
#include "../chalkway_settings.h"
#include "../chalkway_token_stream.h"
#include "test.h"

START_TEST(map_matches_an_array) {
    rng_t rng = {.state = (uint64_t)_i};
    cw_map_t map = cw_map_setup(64, NULL);
    uint32_t values[100];
    for (int k = 0; k < 100; k++) {
        values[k] = CW_MAP_NONE;
    }
    for (int step = 0; step < 5000; step++) {
        uint32_t k = rng_below(&rng, 100);
        uint64_t key = (uint64_t)k * 8 + 8; /* many keys share a home slot */
        if (rng_below(&rng, 2) && (values[k] != CW_MAP_NONE || map.count < 64)) {
            values[k] = rng_below(&rng, 1000);
            cw_map_put(&map, key, values[k]);
        } else {
            ck_assert_int_eq(cw_map_remove(&map, key), values[k] != CW_MAP_NONE);
            values[k] = CW_MAP_NONE;
        }
        uint32_t probe = rng_below(&rng, 100);
        ck_assert_uint_eq(cw_map_get(&map, (uint64_t)probe * 8 + 8), values[probe]);
    }
    cw_map_shutdown(&map);
}
END_TEST

START_TEST(heap_top_is_the_lowest_key) {
    rng_t rng = {.state = (uint64_t)_i};
    cw_heap_t heap = cw_heap_setup(50, NULL);
    for (int step = 0; step < 3000; step++) {
        uint32_t i = rng_below(&rng, 50);
        if (rng_below(&rng, 3)) {
            cw_heap_set(&heap, i, rng_below(&rng, 1000));
        } else {
            cw_heap_remove(&heap, i);
            ck_assert(!cw_heap_has(&heap, i));
        }
        uint32_t top = cw_heap_top(&heap);
        for (uint32_t k = 0; k < 50; k++) {
            ck_assert(!cw_heap_has(&heap, k) || cw_heap_key(&heap, top) <= cw_heap_key(&heap, k));
        }
    }
    cw_heap_shutdown(&heap);
}
END_TEST

START_TEST(fair_serves_by_weight) {
    cw_fair_t* q = cw_fair_setup(&(cw_fair_desc_t){.max_items = 400});
    int served[3] = {0};
    for (uint32_t i = 0; i < 400; i++) {
        cw_fair_push(q, 1 + i % 2, i);
    }
    for (int i = 0; i < 90; i++) {
        uint32_t item = cw_fair_pop(q);
        uint64_t workspace = 1 + item % 2;
        served[workspace]++;
        cw_fair_charge(q, workspace, workspace == 2 ? 2 : 1, 10);
    }
    ck_assert_int_eq(served[1], 30);
    ck_assert_int_eq(served[2], 60);
    cw_fair_shutdown(q);
}
END_TEST

START_TEST(fair_idle_workspace_accumulates_no_credit) {
    cw_fair_t* q = cw_fair_setup(&(cw_fair_desc_t){.max_items = 400});
    for (uint32_t i = 0; i < 100; i++) {
        cw_fair_push(q, 1, i);
    }
    for (int i = 0; i < 50; i++) {
        cw_fair_pop(q);
        cw_fair_charge(q, 1, 1, 10);
    }
    for (uint32_t i = 100; i < 200; i++) {
        cw_fair_push(q, 2, i); /* workspace 2 was idle so far */
    }
    int served_second = 0;
    for (int i = 0; i < 20; i++) {
        uint32_t item = cw_fair_pop(q);
        served_second += item >= 100;
        cw_fair_charge(q, item >= 100 ? 2 : 1, 1, 10);
    }
    ck_assert_int_ge(served_second, 9);
    ck_assert_int_le(served_second, 11);
    cw_fair_shutdown(q);
}
END_TEST

/* More workspaces than counters: idle ones are reclaimed, and CW_ERR_FULL is returned when all of them wait. */
START_TEST(fair_reclaims_idle_workspaces) {
    cw_fair_t* q = cw_fair_setup(&(cw_fair_desc_t){.max_items = 16, .max_workspaces = 4});
    for (uint64_t w = 1; w <= 40; w++) {
        ck_assert_int_eq(cw_fair_push(q, w, 0), CW_OK);
        ck_assert_uint_eq(cw_fair_pop(q), 0);
        cw_fair_charge(q, w, 1, 5);
    }
    for (uint32_t i = 0; i < 4; i++) {
        ck_assert_int_eq(cw_fair_push(q, 100 + i, i), CW_OK);
    }
    ck_assert_int_eq(cw_fair_push(q, 200, 5), CW_ERR_FULL);
    cw_fair_shutdown(q);
}
END_TEST

START_TEST(histogram_resolution_is_one_quarter) {
    cw_hist_t hist = {0};
    for (uint32_t v = 1; v <= 1000; v++) {
        cw_hist_add(&hist, v);
    }
    uint32_t p50 = cw_hist_quantile(&hist, 0.5);
    ck_assert(p50 >= 500 && p50 <= 625);
    ck_assert_uint_ge(cw_hist_quantile(&hist, 1.0), 1000);
    for (uint32_t i = 1; i < CW_HIST_BUCKETS; i++) {
        ck_assert_uint_gt(cw_hist_upper_bound(i), cw_hist_upper_bound(i - 1));
    }
}
END_TEST

START_TEST(estimate_follows_a_change) {
    cw_estimate_t est = {0};
    ck_assert_uint_eq(cw_estimate_quantile(&est, 0.5, 77), 77);
    for (int i = 0; i < 5000; i++) {
        cw_estimate_add(&est, 100);
    }
    for (int i = 0; i < 5000; i++) {
        cw_estimate_add(&est, 1000);
    }
    ck_assert_uint_ge(cw_estimate_quantile(&est, 0.5, 0), 1000);
}
END_TEST

/* 90 short runs and 10 runs ten times as long: aborting the long ones would waste half of all work. */
START_TEST(cutoff_covers_long_runs_that_dominate_the_work) {
    cw_estimate_t est = {0};
    for (int i = 0; i < 100; i++) {
        cw_estimate_add(&est, i % 10 ? 100 : 1000);
    }
    ck_assert_uint_ge(cw_estimate_cutoff(&est, 0.01, 0), 1000);
    ck_assert_uint_le(cw_estimate_cutoff(&est, 0.9, 0), 250);
    ck_assert_uint_eq(cw_estimate_cutoff(&(cw_estimate_t){0}, 0.01, 77), 77);
}
END_TEST

START_TEST(bucket_limits_the_rate) {
    cw_bucket_t bucket = {.rate = 10, .burst = 2};
    int taken_count = 0;
    for (int64_t now = 0; now <= 10000; now += 10) {
        taken_count += cw_bucket_take(&bucket, now, 1);
    }
    ck_assert_int_ge(taken_count, 100);
    ck_assert_int_le(taken_count, 103);
    ck_assert_uint_le(cw_bucket_wait_ms(&bucket, 10000, 1), 101);
}
END_TEST

START_TEST(retries_stay_within_budget) {
    cw_retry_budget_t budget = {.share = 0.1, .burst = 5};
    int retries = 0;
    for (int i = 0; i < 1000; i++) {
        cw_retry_budget_on_first_attempt(&budget);
        retries += cw_retry_budget_take(&budget);
    }
    ck_assert_int_le(retries, 105);
    ck_assert_int_ge(retries, 90);
}
END_TEST

/* When a host is removed, only its keys move. */
START_TEST(rendezvous_moves_only_keys_of_a_removed_host) {
    uint64_t hosts[10];
    for (uint64_t i = 0; i < 10; i++) {
        hosts[i] = cw_mix(i + 1, 99);
    }
    int owned[10] = {0};
    for (uint64_t key = 1; key <= 1000; key++) {
        uint64_t with = cw_rendezvous_owner(key, hosts, 10);
        uint64_t without = cw_rendezvous_owner(key, hosts, 9);
        ck_assert(with == without || with == hosts[9]);
        ck_assert_uint_eq(cw_rendezvous_rank(key, with, hosts, 10), 0);
        uint64_t first[4];
        ck_assert_uint_eq(cw_rendezvous_owners(key, hosts, 10, first, 4), 4);
        for (uint32_t i = 0; i < 4; i++) {
            ck_assert_uint_eq(cw_rendezvous_rank(key, first[i], hosts, 10), i);
        }
        ck_assert_uint_eq(cw_rendezvous_owners(key, hosts, 2, first, 4), 2);
        for (int i = 0; i < 10; i++) {
            owned[i] += hosts[i] == with;
        }
    }
    for (int i = 0; i < 10; i++) {
        ck_assert_int_ge(owned[i], 60);
        ck_assert_int_le(owned[i], 150);
    }
}
END_TEST

/* Any split into blocks gives the same events, and incomplete events are not forwarded. */
START_TEST(stream_forwards_complete_events_only) {
    static const char text[] = "data: a\n\ndata: {\"b\":1}\n\ndata: [DONE]\n\n";
    rng_t rng = {.state = (uint64_t)_i};
    cw_token_stream_t s = {0};
    char pending[128];
    char forwarded[128] = "";
    size_t pending_size = 0;
    size_t forwarded_size = 0;
    size_t stop = _i % 2 ? sizeof(text) - 1 : 1 + rng_below(&rng, sizeof(text) - 2);
    for (size_t at = 0; at < stop;) {
        size_t n = 1 + rng_below(&rng, 9);
        n = at + n > stop ? stop - at : n;
        memcpy(pending + pending_size, text + at, n);
        pending_size += n;
        at += n;
        size_t complete_size = cw_token_stream_take(&s, pending, pending_size);
        memcpy(forwarded + forwarded_size, pending, complete_size);
        forwarded_size += complete_size;
        pending_size -= complete_size;
        memmove(pending, pending + complete_size, pending_size);
    }
    ck_assert(memcmp(forwarded, text, forwarded_size) == 0);
    ck_assert(forwarded_size == 0 || (forwarded[forwarded_size - 1] == '\n' && forwarded[forwarded_size - 2] == '\n'));
    ck_assert_int_eq(s.ended, stop == sizeof(text) - 1);
    ck_assert_uint_eq(s.tokens, forwarded_size >= 24 ? 2 : forwarded_size >= 9 ? 1 : 0);
}
END_TEST

START_TEST(nothing_is_forwarded_after_the_end_event) {
    static const char text[] = "data: a\n\ndata: [DONE]\n\ndata: b\n\n";
    cw_token_stream_t s = {0};
    size_t whole = strlen("data: a\n\ndata: [DONE]\n\n");
    ck_assert_uint_eq(cw_token_stream_take(&s, text, sizeof(text) - 1), whole);
    ck_assert(s.ended);
    ck_assert_uint_eq(cw_token_stream_take(&s, text + whole, sizeof(text) - 1 - whole), 0);
    ck_assert_uint_eq(s.tokens, 1);
}
END_TEST

/* The sizes of a pool's shards differ by at most one, and a new upstream moves at most one upstream across each shard
   boundary. */
START_TEST(shards_are_even_and_stable) {
    uint64_t ids[100];
    for (uint32_t i = 0; i < 100; i++) {
        ids[i] = cw_mix(i + 1, 5);
    }
    for (uint32_t count = 1; count < 100; count++) {
        uint32_t shards = cw_rendezvous_shard_count(count, 7);
        uint32_t sizes[16] = {0};
        uint32_t moved = 0;
        for (uint32_t i = 0; i < count; i++) {
            uint64_t shard = cw_rendezvous_shard(9, ids[i], ids, count, shards);
            for (uint32_t k = 0; k < shards; k++) {
                sizes[k] += shard == cw_rendezvous_shard_id(9, k);
            }
            moved += shard != cw_rendezvous_shard(9, ids[i], ids, count + 1, shards);
        }
        for (uint32_t k = 0; k < shards; k++) {
            ck_assert_uint_ge(sizes[k], count / shards);
            ck_assert_uint_le(sizes[k], (count + shards - 1) / shards);
        }
        ck_assert_uint_lt(moved, shards);
    }
}
END_TEST

/* -- settings ------------------------------------------------------------- */

static cw_settings_errors_t load_settings(const char* text, cw_settings_t* settings) {
    static cw_settings_errors_t errors;
    char path[] = "/tmp/chalkway-settings-XXXXXX";
    int fd = mkstemp(path);
    ck_assert_int_ge(fd, 0);
    FILE* f = fdopen(fd, "w");
    fputs(text, f);
    fclose(f);
    memset(&errors, 0, sizeof(errors));
    cw_settings_load(path, settings, &errors);
    remove(path);
    return errors;
}

#define HOST_SECTION "[host]\nname = a\nhall = h\nhttp = 127.0.0.1:1\npeer = 127.0.0.1:2\noperator = 127.0.0.1:3\n"

START_TEST(settings_are_parsed_with_units) {
    cw_settings_t s;
    cw_settings_errors_t errors = load_settings(
        HOST_SECTION "[entry]\nlookup_keep = 2m\nmax_body = 64k\nretry_share = 0.25\n[log]\nformat = json\n", &s);
    ck_assert_msg(errors.count == 0, "%s", errors.lines[0]);
    ck_assert_str_eq(s.name, "a");
    ck_assert_uint_eq(s.lookup_ttl_ms, 120000);
    ck_assert_uint_eq(s.max_body_bytes, 65536);
    ck_assert_double_eq(s.retry_ratio, 0.25);
    ck_assert_uint_eq(s.grant_ms, 500);
}
END_TEST

START_TEST(all_invalid_settings_are_reported_at_once) {
    cw_settings_t s;
    cw_settings_errors_t errors =
        load_settings("[host]\nname = a b\nhttp = 127.0.0.1:1\npeer = 127.0.0.1:1\n"
                      "operator = nowhere\n[entry]\nsilent = 5\ncolour = red\n[log]\nlevel = loud\n",
                      &s);
    static const char* const expected[] = {":2: [host] name: must be letters",
                                           ":5: [host] operator: must be IP:PORT",
                                           ":7: [entry] silent: must be a time",
                                           ":8: [entry] colour: is not known",
                                           "[host] hall: is missing",
                                           "[host] peer: is the same address as http",
                                           "[log] level: must be one of"};
    for (size_t i = 0; i < sizeof(expected) / sizeof(expected[0]); i++) {
        bool found = false;
        for (uint32_t k = 0; k < errors.count; k++) {
            found = found || strstr(errors.lines[k], expected[i]);
        }
        ck_assert_msg(found, "missing: %s", expected[i]);
    }
    ck_assert_uint_eq(errors.count, 7);
}
END_TEST

/* -- log ------------------------------------------------------------------ */

static char logged_line[2048];

static void store_line(const char* line, void* user) {
    (void)user;
    cw_copy(logged_line, sizeof(logged_line), line);
}

START_TEST(log_writes_pairs_and_json) {
    cw_log_t log = {.level = CW_LOG_INFO, .write = store_line};
    cw_log(&log, CW_EVENT_STARTED, "host=%s reason=\"%s\"", "a", "two words");
    ck_assert_ptr_nonnull(strstr(logged_line, "info 100 started host=a reason=\"two words\""));
    log.json = true;
    cw_log(&log, CW_EVENT_STARTED, "host=%s reason=\"%s\"", "a", "two words");
    ck_assert_ptr_nonnull(strstr(logged_line, "\"event\":100"));
    ck_assert_ptr_nonnull(strstr(logged_line, "\"reason\":\"two words\""));
    logged_line[0] = 0;
    cw_log(&log, CW_EVENT_PEER_CLOSED, "peer=x"); /* below the level */
    ck_assert_str_eq(logged_line, "");
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_loop_test(t, map_matches_an_array, 0, 5);
    tcase_add_loop_test(t, heap_top_is_the_lowest_key, 0, 3);
    tcase_add_test(t, fair_serves_by_weight);
    tcase_add_test(t, fair_idle_workspace_accumulates_no_credit);
    tcase_add_test(t, fair_reclaims_idle_workspaces);
    tcase_add_test(t, histogram_resolution_is_one_quarter);
    tcase_add_test(t, estimate_follows_a_change);
    tcase_add_test(t, cutoff_covers_long_runs_that_dominate_the_work);
    tcase_add_test(t, bucket_limits_the_rate);
    tcase_add_test(t, retries_stay_within_budget);
    tcase_add_test(t, rendezvous_moves_only_keys_of_a_removed_host);
    tcase_add_test(t, shards_are_even_and_stable);
    tcase_add_loop_test(t, stream_forwards_complete_events_only, 0, 40);
    tcase_add_test(t, nothing_is_forwarded_after_the_end_event);
    tcase_add_test(t, settings_are_parsed_with_units);
    tcase_add_test(t, all_invalid_settings_are_reported_at_once);
    tcase_add_test(t, log_writes_pairs_and_json);
}

int main(void) {
    return run_suite("parts", add_tests, 30);
}
