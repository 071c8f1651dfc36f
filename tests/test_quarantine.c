/* Quarantine of requests that crash servers, with simulated time. */

#include "../chalkway_load.h"
#include "../chalkway_quarantine.h"
#include "test.h"

#define KEEP_MS 600000
#define SETTLED_MS 100 /* time until observations of other crashes at the same moment have arrived */

static cw_quarantine_t* setup(void) {
    return cw_quarantine_setup(&(cw_quarantine_desc_t){.entries = 64, .keep_ms = KEEP_MS});
}

static cw_fingerprint_t request(uint64_t content) {
    return (cw_fingerprint_t){.workspace = 1, .content = content};
}

static bool report_crash_ago(cw_quarantine_t* q, int64_t now_ms, uint64_t content, uint64_t life, uint32_t age_ms) {
    return cw_quarantine_take(
        q, now_ms, &(cw_mark_t){.kind = CW_MARK_ENDED, .request = request(content), .life = life, .age_ms = age_ms});
}

static bool report_crash(cw_quarantine_t* q, int64_t now_ms, uint64_t content, uint64_t life) {
    return report_crash_ago(q, now_ms, content, life, 0);
}

static bool report_cleared(cw_quarantine_t* q, int64_t now_ms, uint64_t content, uint32_t age_ms) {
    return cw_quarantine_take(q, now_ms,
                              &(cw_mark_t){.kind = CW_MARK_CLEARED, .request = request(content), .age_ms = age_ms});
}

static bool report_alive(cw_quarantine_t* q, int64_t now_ms, uint64_t life, uint32_t age_ms) {
    return cw_quarantine_take(q, now_ms, &(cw_mark_t){.kind = CW_MARK_ALIVE, .life = life, .age_ms = age_ms});
}

static bool report_trial(cw_quarantine_t* q, int64_t now_ms, uint64_t content, uint64_t life) {
    return cw_quarantine_take(q, now_ms,
                              &(cw_mark_t){.kind = CW_MARK_TRIED, .request = request(content), .life = life});
}

static cw_verdict_t verdict_of(cw_quarantine_t* q, int64_t now_ms, uint64_t content) {
    cw_fingerprint_t r = request(content);
    return cw_quarantine_ask(q, now_ms, &r);
}

static void expect_verdict(cw_quarantine_t* q, int64_t now_ms, uint64_t content, cw_verdict_kind_t kind) {
    ck_assert_int_eq(verdict_of(q, now_ms, content).kind, kind);
}

START_TEST(request_that_crashed_three_servers_is_quarantined) {
    cw_quarantine_t* q = setup();
    ck_assert(report_crash(q, 1000, 7, 101));
    expect_verdict(q, 1000, 7, CW_VERDICT_FREE);
    ck_assert(report_crash(q, 1200, 7, 102));
    expect_verdict(q, 1200, 7, CW_VERDICT_APART);
    ck_assert(report_crash(q, 1400, 7, 103));
    ck_assert_uint_eq(verdict_of(q, 1440, 7).retry_ms, SETTLED_MS - 40);
    expect_verdict(q, 1400 + SETTLED_MS - 1, 7, CW_VERDICT_WAIT);
    cw_verdict_t v = verdict_of(q, 1400 + SETTLED_MS, 7);
    ck_assert_int_eq(v.kind, CW_VERDICT_HELD);
    ck_assert_uint_eq(v.ends, 3);
    ck_assert_uint_eq(v.retry_ms, KEEP_MS - 400 - SETTLED_MS);
    expect_verdict(q, 1400, 8, CW_VERDICT_FREE);
    cw_fingerprint_t other = {.workspace = 2, .content = 7}; /* the same content from another workspace */
    ck_assert_int_eq(cw_quarantine_ask(q, 1400, &other).kind, CW_VERDICT_FREE);
    cw_quarantine_shutdown(q);
}
END_TEST

START_TEST(crash_reported_by_several_hosts_counts_once) {
    cw_quarantine_t* q = setup();
    ck_assert(report_crash(q, 1000, 7, 101));
    ck_assert(!report_crash(q, 1003, 7, 101));
    ck_assert(!report_crash_ago(q, 1900, 7, 101, 899));
    ck_assert_uint_eq(verdict_of(q, 1900, 7).ends, 1);
    ck_assert(report_crash(q, 4000, 7, 101)); /* it restarted, and the server list does not show it yet */
    ck_assert_uint_eq(verdict_of(q, 4000, 7).ends, 2);
    cw_quarantine_shutdown(q);
}
END_TEST

START_TEST(response_clears_regardless_of_report_order) {
    cw_quarantine_t* q = setup();
    report_crash(q, 1000, 7, 101);
    report_crash(q, 1200, 7, 102);
    ck_assert(report_cleared(q, 1300, 7, 0));
    expect_verdict(q, 1300, 7, CW_VERDICT_FREE);
    ck_assert(!report_crash_ago(q, 1350, 7, 103, 200)); /* crashed before the clearance, reported after it */
    ck_assert(!report_cleared(q, 1400, 7, 0));
    report_crash(q, 1500, 7, 104);
    ck_assert_uint_eq(verdict_of(q, 1500, 7).ends, 1);
    cw_quarantine_shutdown(q);
}
END_TEST

START_TEST(sign_of_life_disproves_crash_regardless_of_order) {
    cw_quarantine_t* q = setup();
    report_crash(q, 1000, 7, 101);
    report_crash(q, 1000, 8, 101);
    report_crash(q, 1200, 7, 102);
    ck_assert(report_alive(q, 1400, 101, 0));
    ck_assert_uint_eq(verdict_of(q, 1400, 7).ends, 1);
    ck_assert_uint_eq(verdict_of(q, 1400, 8).ends, 0);
    ck_assert(!report_crash_ago(q, 1500, 9, 101, 400));
    ck_assert(report_crash(q, 9000, 9, 101)); /* it crashed after the sign of life */
    ck_assert_uint_eq(verdict_of(q, 9000, 9).ends, 1);
    cw_quarantine_shutdown(q);
}
END_TEST

/* Half of the servers, four at a time, crash every 1.2 s. A request that was retried each time ran on three of them and
   must not be quarantined. */
START_TEST(three_coincident_crashes_do_not_quarantine) {
    cw_quarantine_t* q = setup();
    for (uint64_t wave = 0; wave < 3; wave++) {
        int64_t at_ms = 1000 + 1200 * (int64_t)wave;
        for (uint64_t server = 0; server < 4; server++) {
            report_crash(q, at_ms + (int64_t)server, server ? 100 + 10 * wave + server : 7, 1000 + 10 * wave + server);
        }
    }
    expect_verdict(q, 3500, 7, CW_VERDICT_TRIAL);
    ck_assert(report_cleared(q, 3600, 7, 0));
    expect_verdict(q, 3600, 7, CW_VERDICT_FREE);
    cw_quarantine_shutdown(q);
}
END_TEST

/* Three crashes at half weight allow three more attempts, each announced as a trial before it is sent. The request is
   quarantined after them, whether or not a server crashes. */
START_TEST(request_on_trial_is_sent_at_most_three_times) {
    cw_quarantine_t* q = setup();
    for (uint64_t i = 0; i < 3; i++) {
        report_crash(q, 1000 + 500 * (int64_t)i, 7, 101 + i);
        report_crash(q, 1001 + 500 * (int64_t)i, 70 + i, 201 + i);
    }
    for (uint64_t i = 0; i < 3; i++) {
        expect_verdict(q, 4000, 7, CW_VERDICT_TRIAL);
        ck_assert(report_trial(q, 4000 + (int64_t)i, 7, 900 + i));
    }
    expect_verdict(q, 4100, 7, CW_VERDICT_HELD);
    ck_assert_uint_eq(verdict_of(q, 4100, 7).ends, 3);
    cw_quarantine_shutdown(q);
}
END_TEST

/* Two requests with two crashes each run on a third server that crashes: either may be the cause. */
START_TEST(requests_on_one_crashed_server_count_half) {
    cw_quarantine_t* q = setup();
    for (uint64_t life = 101; life <= 103; life++) {
        int64_t at_ms = 1000 * (int64_t)(life - 100);
        report_crash(q, at_ms, 7, life);
        report_crash(q, at_ms + 1, 8, life);
        report_crash(q, at_ms + 1, 50 + life,
                     life); /* runs on one server only, so it does not halve the weight for the others */
    }
    expect_verdict(q, 3100, 7, CW_VERDICT_TRIAL);
    expect_verdict(q, 3100, 8, CW_VERDICT_TRIAL);
    report_crash(q, 4000, 7, 104); /* request 8 ran elsewhere */
    report_cleared(q, 4000, 8, 0);
    expect_verdict(q, 4000 + SETTLED_MS, 7, CW_VERDICT_HELD);
    expect_verdict(q, 4000, 8, CW_VERDICT_FREE);
    cw_quarantine_shutdown(q);
}
END_TEST

/* The verdict is pending until observations of other crashes at the same moment have arrived, and one that arrives
   prevents the quarantine. */
START_TEST(recent_crash_is_pending_until_other_reports_arrive) {
    cw_quarantine_t* q = setup();
    cw_quarantine_entry_t quarantined;
    report_crash(q, 1000, 7, 101);
    report_crash(q, 2000, 7, 102);
    report_crash(q, 3000, 7, 103);
    expect_verdict(q, 3010, 7, CW_VERDICT_WAIT);
    ck_assert(!cw_quarantine_newly_held(q, 3010, &quarantined));
    report_crash_ago(q, 3060, 50, 203, 58);
    expect_verdict(q, 3060, 7, CW_VERDICT_TRIAL);
    expect_verdict(q, 3200, 7, CW_VERDICT_TRIAL);
    report_crash(q, 4000, 7, 104);
    ck_assert(cw_quarantine_newly_held(q, 4001, &quarantined)); /* the weight suffices even if this crash counts half */
    ck_assert_uint_eq(quarantined.request.content, 7);
    ck_assert_uint_eq(quarantined.verdict.ends, 4);
    ck_assert(!cw_quarantine_newly_held(q, 4110, &quarantined));
    cw_quarantine_shutdown(q);
}
END_TEST

/* The server of a trial crashes: trial and crash count once. */
START_TEST(crash_replaces_its_trial) {
    cw_quarantine_t* q = setup();
    for (uint64_t i = 0; i < 3; i++) {
        report_crash(q, 1000 + 500 * (int64_t)i, 7, 101 + i);
        report_crash(q, 1001 + 500 * (int64_t)i, 70 + i, 201 + i);
    }
    ck_assert(report_trial(q, 4000, 7, 104));
    ck_assert(report_crash(q, 4200, 7, 104));
    report_crash(q, 4201, 73, 204);
    ck_assert_uint_eq(verdict_of(q, 4300, 7).ends, 4);
    ck_assert_uint_eq(verdict_of(q, 4300, 7).ruled_out, 4);
    expect_verdict(q, 4300, 7, CW_VERDICT_TRIAL);
    cw_quarantine_shutdown(q);
}
END_TEST

START_TEST(crashes_expire_one_by_one) {
    cw_quarantine_t* q = setup();
    report_crash(q, 1000, 7, 101);
    report_crash(q, 2000, 7, 102);
    report_crash(q, 3000, 7, 103);
    expect_verdict(q, 1000 + KEEP_MS - 1, 7, CW_VERDICT_HELD);
    expect_verdict(q, 1000 + KEEP_MS, 7, CW_VERDICT_APART);
    report_crash(q, 1500 + KEEP_MS, 7, 104); /* one more attempt crashes one more server: quarantined again */
    expect_verdict(q, 1500 + KEEP_MS + SETTLED_MS, 7, CW_VERDICT_HELD);
    expect_verdict(q, 2000 + 3 * KEEP_MS, 7, CW_VERDICT_FREE);
    ck_assert_uint_eq(cw_quarantine_stats(q, 2000 + 3 * KEEP_MS).entries, 0);
    cw_quarantine_shutdown(q);
}
END_TEST

/* One workspace sends 10,000 bodies, each of which crashes three servers. */
START_TEST(one_workspace_does_not_evict_entries_of_others) {
    cw_quarantine_t* q = cw_quarantine_setup(&(cw_quarantine_desc_t){.entries = 256, .keep_ms = KEEP_MS});
    for (uint64_t i = 0; i < 3; i++) {
        report_crash(q, 1000 + 100 * (int64_t)i, 7, 101 + i);
    }
    for (uint64_t body = 0; body < 10000; body++) {
        for (uint64_t i = 0; i < 3; i++) {
            cw_mark_t mark = {.kind = CW_MARK_ENDED,
                              .request = {.workspace = 2, .content = 1000 + body},
                              .life = 100000 + 3 * body + i};
            cw_quarantine_take(q, 2000 + 300 * (int64_t)body / 10 + 40 * (int64_t)i, &mark);
        }
    }
    cw_quarantine_stats_t stats = cw_quarantine_stats(q, 303000);
    ck_assert_uint_eq(stats.entries, 256 / 4 + 1);
    ck_assert_uint_eq(stats.pushed_out, 10000 - 256 / 4);
    expect_verdict(q, 303000, 7, CW_VERDICT_HELD);
    cw_quarantine_shutdown(q);
}
END_TEST

/* The observations that one host exports, in several parts, give a newly started host the same verdicts. */
START_TEST(exported_observations_give_the_same_verdicts) {
    cw_quarantine_t* q = setup();
    cw_quarantine_t* fresh = setup();
    for (uint64_t body = 0; body < 20; body++) {
        for (uint64_t i = 0; i <= body % 4; i++) {
            report_crash(q, 1000 + 50 * (int64_t)(body * 4 + i), 7 + body, 100 + body * 4 + i);
        }
    }
    cw_mark_t marks[20];
    uint32_t at = 0;
    uint32_t exported = 0;
    do {
        uint32_t count = cw_quarantine_marks(q, 9000, &at, marks, 20);
        for (uint32_t i = 0; i < count; i++) {
            cw_quarantine_take(fresh, 9000, &marks[i]);
        }
        exported += count;
    } while (at);
    ck_assert_uint_ge(exported, 45); /* five bodies each with two, three and four crashes, and unrelated crashes */
    for (uint64_t body = 0; body < 20; body++) {
        expect_verdict(fresh, 9000, 7 + body, verdict_of(q, 9000, 7 + body).kind);
    }
    cw_quarantine_shutdown(fresh);
    cw_quarantine_shutdown(q);
}
END_TEST

typedef struct observation_t {
    cw_mark_kind_t kind;
    uint64_t content, life;
    int64_t at_ms;
} observation_t;

static void apply_observation(cw_quarantine_t* q, const observation_t* observation, int64_t now_ms) {
    cw_quarantine_take(q, now_ms,
                       &(cw_mark_t){.kind = observation->kind,
                                    .request = request(observation->content),
                                    .life = observation->life,
                                    .age_ms = (uint32_t)(now_ms - observation->at_ms)});
}

/* Hosts that receive the same observations in any order, some of them twice, count the same crashes. */
START_TEST(order_and_duplicates_of_observations_do_not_matter) {
    observation_t observations[40];
    uint32_t expected[12] = {0};
    for (uint64_t round = 0; round < 200; round++) {
        for (uint64_t i = 0; i < 40; i++) {
            uint64_t r = cw_mix(i, 1);
            observations[i] = (observation_t){.kind = i % 13 == 0   ? CW_MARK_ALIVE
                                                      : i % 17 == 0 ? CW_MARK_CLEARED
                                                                    : CW_MARK_ENDED,
                                              .content = 1 + r % 12,
                                              .life = 100 + i % 20,
                                              .at_ms = 1000 + 2000 * (int64_t)(i % 20) + (i % 13 == 0 ? 400 : 0)};
        }
        cw_quarantine_t* q = setup();
        for (uint32_t i = 0; i < 40 && round; i++) {
            uint32_t j = (uint32_t)(cw_mix(round, i) % 40);
            observation_t swap = observations[i];
            observations[i] = observations[j];
            observations[j] = swap;
        }
        for (uint32_t i = 0; i < 40; i++) {
            apply_observation(q, &observations[i], 50000);
            apply_observation(q, &observations[cw_mix(round, i) % (i + 1)], 50000);
        }
        for (uint64_t content = 1; content <= 12; content++) {
            cw_verdict_t v = verdict_of(q, 50000, content);
            expected[content - 1] = round ? expected[content - 1] : v.ends;
            ck_assert_msg(v.ends == expected[content - 1], "round %u, request %u: %u crashes, %u in the first round",
                          (unsigned)round, (unsigned)content, v.ends, expected[content - 1]);
        }
        cw_quarantine_shutdown(q);
    }
}
END_TEST

START_TEST(observations_are_encoded_and_invalid_ones_rejected) {
    static cw_load_message_t message = {.cluster = 1, .host = 2, .mark_count = CW_LOAD_MARKS};
    static cw_load_message_t read;
    uint8_t bytes[CW_LOAD_BYTES];
    for (uint32_t i = 0; i < CW_LOAD_MARKS; i++) {
        message.marks[i] = (cw_mark_t){.kind = (cw_mark_kind_t)(i % CW_MARK_KINDS),
                                       .request = {.workspace = UINT64_MAX - i, .content = UINT64_MAX / (i + 1)},
                                       .life = UINT64_MAX,
                                       .age_ms = UINT32_MAX - i};
    }
    size_t size = cw_load_encode(&message, bytes, sizeof(bytes));
    ck_assert_uint_gt(size, 0);
    ck_assert_int_eq(cw_load_decode(&read, bytes, size, NULL), CW_OK);
    ck_assert_uint_eq(read.mark_count, CW_LOAD_MARKS);
    for (uint32_t i = 0; i < CW_LOAD_MARKS; i++) {
        ck_assert_int_eq(read.marks[i].kind, message.marks[i].kind);
        ck_assert(cw_fingerprint_same(&read.marks[i].request, &message.marks[i].request));
        ck_assert_uint_eq(read.marks[i].life, message.marks[i].life);
        ck_assert_uint_eq(read.marks[i].age_ms, message.marks[i].age_ms);
    }
    message.mark_count = 1;
    message.marks[0].kind = CW_MARK_KINDS;
    size = cw_load_encode(&message, bytes, sizeof(bytes));
    ck_assert_int_eq(cw_load_decode(&read, bytes, size, NULL), CW_ERR_PROTOCOL);
}
END_TEST

START_TEST(fingerprint_depends_on_content_and_workspace) {
    cw_fingerprint_parts_t parts = {.method = "POST", .host = "h", .target = "/a?b", .body = "xyz", .size = 3};
    cw_fingerprint_t first = cw_fingerprint(1, &parts);
    cw_fingerprint_parts_t others[5] = {parts, parts, parts, parts, parts};
    others[0].method = "PUT";
    others[1].host = NULL;
    others[2].target = "/a?c";
    others[3].size = 2;
    others[4].host = "h/a";
    others[4].target = "?b";
    for (int i = 0; i < 5; i++) {
        cw_fingerprint_t other = cw_fingerprint(1, &others[i]);
        ck_assert(!cw_fingerprint_same(&first, &other));
    }
    cw_fingerprint_t again = cw_fingerprint(1, &parts);
    cw_fingerprint_t caller = cw_fingerprint(2, &parts);
    ck_assert(cw_fingerprint_same(&first, &again));
    ck_assert(!cw_fingerprint_same(&first, &caller));
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, request_that_crashed_three_servers_is_quarantined);
    tcase_add_test(t, crash_reported_by_several_hosts_counts_once);
    tcase_add_test(t, response_clears_regardless_of_report_order);
    tcase_add_test(t, sign_of_life_disproves_crash_regardless_of_order);
    tcase_add_test(t, three_coincident_crashes_do_not_quarantine);
    tcase_add_test(t, request_on_trial_is_sent_at_most_three_times);
    tcase_add_test(t, requests_on_one_crashed_server_count_half);
    tcase_add_test(t, recent_crash_is_pending_until_other_reports_arrive);
    tcase_add_test(t, crash_replaces_its_trial);
    tcase_add_test(t, crashes_expire_one_by_one);
    tcase_add_test(t, one_workspace_does_not_evict_entries_of_others);
    tcase_add_test(t, exported_observations_give_the_same_verdicts);
    tcase_add_test(t, order_and_duplicates_of_observations_do_not_matter);
    tcase_add_test(t, observations_are_encoded_and_invalid_ones_rejected);
    tcase_add_test(t, fingerprint_depends_on_content_and_workspace);
}

int main(void) {
    return run_suite("quarantine", add_tests, 20);
}
