/* Which requests are held back for the servers that ended under them, on a clock of the test's own. */

#include "../chalkway_load.h"
#include "../chalkway_quarantine.h"
#include "test.h"

#define KEEP_MS 600000
#define SETTLED_MS 100 /* until the news of what else ended at a moment is there */

static cw_quarantine_t* setup(void) {
    return cw_quarantine_setup(&(cw_quarantine_desc_t){.entries = 64, .keep_ms = KEEP_MS});
}

static cw_fingerprint_t request(uint64_t content) {
    return (cw_fingerprint_t){.workspace = 1, .content = content};
}

static bool ended_ago(cw_quarantine_t* q, int64_t now_ms, uint64_t content, uint64_t life, uint32_t age_ms) {
    return cw_quarantine_take(
        q, now_ms, &(cw_mark_t){.kind = CW_MARK_ENDED, .request = request(content), .life = life, .age_ms = age_ms});
}

static bool ended(cw_quarantine_t* q, int64_t now_ms, uint64_t content, uint64_t life) {
    return ended_ago(q, now_ms, content, life, 0);
}

static bool cleared(cw_quarantine_t* q, int64_t now_ms, uint64_t content, uint32_t age_ms) {
    return cw_quarantine_take(q, now_ms,
                              &(cw_mark_t){.kind = CW_MARK_CLEARED, .request = request(content), .age_ms = age_ms});
}

static bool alive(cw_quarantine_t* q, int64_t now_ms, uint64_t life, uint32_t age_ms) {
    return cw_quarantine_take(q, now_ms, &(cw_mark_t){.kind = CW_MARK_ALIVE, .life = life, .age_ms = age_ms});
}

static bool tried(cw_quarantine_t* q, int64_t now_ms, uint64_t content, uint64_t number) {
    return cw_quarantine_take(q, now_ms,
                              &(cw_mark_t){.kind = CW_MARK_TRIED, .request = request(content), .life = number});
}

static cw_verdict_t ask(cw_quarantine_t* q, int64_t now_ms, uint64_t content) {
    cw_fingerprint_t r = request(content);
    return cw_quarantine_ask(q, now_ms, &r);
}

static void expect(cw_quarantine_t* q, int64_t now_ms, uint64_t content, cw_verdict_kind_t kind) {
    ck_assert_int_eq(ask(q, now_ms, content).kind, kind);
}

START_TEST(a_request_under_which_three_servers_ended_is_held) {
    cw_quarantine_t* q = setup();
    ck_assert(ended(q, 1000, 7, 101));
    expect(q, 1000, 7, CW_VERDICT_FREE);
    ck_assert(ended(q, 1200, 7, 102));
    expect(q, 1200, 7, CW_VERDICT_APART);
    ck_assert(ended(q, 1400, 7, 103));
    ck_assert_uint_eq(ask(q, 1440, 7).retry_ms, SETTLED_MS - 40);
    expect(q, 1400 + SETTLED_MS - 1, 7, CW_VERDICT_WAIT);
    cw_verdict_t v = ask(q, 1400 + SETTLED_MS, 7);
    ck_assert_int_eq(v.kind, CW_VERDICT_HELD);
    ck_assert_uint_eq(v.ends, 3);
    ck_assert_uint_eq(v.retry_ms, KEEP_MS - 400 - SETTLED_MS);
    expect(q, 1400, 8, CW_VERDICT_FREE);
    cw_fingerprint_t other = {.workspace = 2, .content = 7}; /* the same of another caller */
    ck_assert_int_eq(cw_quarantine_ask(q, 1400, &other).kind, CW_VERDICT_FREE);
    cw_quarantine_shutdown(q);
}
END_TEST

START_TEST(an_end_that_several_hosts_tell_counts_once) {
    cw_quarantine_t* q = setup();
    ck_assert(ended(q, 1000, 7, 101));
    ck_assert(!ended(q, 1003, 7, 101));
    ck_assert(!ended_ago(q, 1900, 7, 101, 899));
    ck_assert_uint_eq(ask(q, 1900, 7).ends, 1);
    ck_assert(ended(q, 4000, 7, 101)); /* it came back, and the list has not told so yet */
    ck_assert_uint_eq(ask(q, 4000, 7).ends, 2);
    cw_quarantine_shutdown(q);
}
END_TEST

START_TEST(an_answer_clears_whatever_the_order_of_the_news) {
    cw_quarantine_t* q = setup();
    ended(q, 1000, 7, 101);
    ended(q, 1200, 7, 102);
    ck_assert(cleared(q, 1300, 7, 0));
    expect(q, 1300, 7, CW_VERDICT_FREE);
    ck_assert(!ended_ago(q, 1350, 7, 103, 200)); /* told late, and came before */
    ck_assert(!cleared(q, 1400, 7, 0));
    ended(q, 1500, 7, 104);
    ck_assert_uint_eq(ask(q, 1500, 7).ends, 1);
    cw_quarantine_shutdown(q);
}
END_TEST

START_TEST(a_sign_of_life_takes_an_end_back_whatever_the_order) {
    cw_quarantine_t* q = setup();
    ended(q, 1000, 7, 101);
    ended(q, 1000, 8, 101);
    ended(q, 1200, 7, 102);
    ck_assert(alive(q, 1400, 101, 0));
    ck_assert_uint_eq(ask(q, 1400, 7).ends, 1);
    ck_assert_uint_eq(ask(q, 1400, 8).ends, 0);
    ck_assert(!ended_ago(q, 1500, 9, 101, 400));
    ck_assert(ended(q, 9000, 9, 101)); /* it ended later */
    ck_assert_uint_eq(ask(q, 9000, 9).ends, 1);
    cw_quarantine_shutdown(q);
}
END_TEST

/* Half of the servers crash each 1.2 s: a request that was sent again each time was at three of them. */
START_TEST(ends_among_those_of_other_servers_hold_nobody_at_three) {
    cw_quarantine_t* q = setup();
    for (uint64_t wave = 0; wave < 3; wave++) {
        int64_t at_ms = 1000 + 1200 * (int64_t)wave;
        for (uint64_t server = 0; server < 4; server++) {
            ended(q, at_ms + (int64_t)server, server ? 100 + 10 * wave + server : 7, 1000 + 10 * wave + server);
        }
    }
    expect(q, 3500, 7, CW_VERDICT_TRIAL);
    ck_assert(cleared(q, 3600, 7, 0));
    expect(q, 3600, 7, CW_VERDICT_FREE);
    cw_quarantine_shutdown(q);
}
END_TEST

/* It is deadly all the same: three more sendings, each told before it leaves, whether or not a server ends. */
START_TEST(a_request_on_trial_is_sent_three_times_at_most) {
    cw_quarantine_t* q = setup();
    for (uint64_t i = 0; i < 3; i++) {
        ended(q, 1000 + 500 * (int64_t)i, 7, 101 + i);
        ended(q, 1001 + 500 * (int64_t)i, 70 + i, 201 + i);
    }
    for (uint64_t i = 0; i < 3; i++) {
        expect(q, 4000, 7, CW_VERDICT_TRIAL);
        ck_assert(tried(q, 4000 + (int64_t)i, 7, 900 + i));
    }
    expect(q, 4100, 7, CW_VERDICT_HELD);
    ck_assert_uint_eq(ask(q, 4100, 7).ends, 3);
    cw_quarantine_shutdown(q);
}
END_TEST

/* Two requests with two ends each are at the third server: it is not known which one ended it. */
START_TEST(who_was_there_beside_one_as_suspect_is_not_held_for_it) {
    cw_quarantine_t* q = setup();
    for (uint64_t life = 101; life <= 103; life++) {
        int64_t at_ms = 1000 * (int64_t)(life - 100);
        ended(q, at_ms, 7, life);
        ended(q, at_ms + 1, 8, life);
        ended(q, at_ms + 1, 50 + life, life); /* at one of them only: no excuse for the others */
    }
    expect(q, 3100, 7, CW_VERDICT_TRIAL);
    expect(q, 3100, 8, CW_VERDICT_TRIAL);
    ended(q, 4000, 7, 104); /* the second one was elsewhere */
    cleared(q, 4000, 8, 0);
    expect(q, 4000 + SETTLED_MS, 7, CW_VERDICT_HELD);
    expect(q, 4000, 8, CW_VERDICT_FREE);
    cw_quarantine_shutdown(q);
}
END_TEST

/* It waits until the news of the others that ended then is there, and is not held for it. */
START_TEST(a_fresh_end_is_not_judged_before_the_news_of_others) {
    cw_quarantine_t* q = setup();
    cw_quarantine_entry_t held;
    ended(q, 1000, 7, 101);
    ended(q, 2000, 7, 102);
    ended(q, 3000, 7, 103);
    expect(q, 3010, 7, CW_VERDICT_WAIT);
    ck_assert(!cw_quarantine_newly_held(q, 3010, &held));
    ended_ago(q, 3060, 50, 203, 58);
    expect(q, 3060, 7, CW_VERDICT_TRIAL);
    expect(q, 3200, 7, CW_VERDICT_TRIAL);
    ended(q, 4000, 7, 104);
    ck_assert(cw_quarantine_newly_held(q, 4001, &held)); /* whatever else ended then */
    ck_assert_uint_eq(held.request.content, 7);
    ck_assert_uint_eq(held.verdict.ends, 4);
    ck_assert(!cw_quarantine_newly_held(q, 4110, &held));
    cw_quarantine_shutdown(q);
}
END_TEST

/* The server of a trial ends: that is one, not two. */
START_TEST(the_end_under_a_trial_takes_its_place) {
    cw_quarantine_t* q = setup();
    for (uint64_t i = 0; i < 3; i++) {
        ended(q, 1000 + 500 * (int64_t)i, 7, 101 + i);
        ended(q, 1001 + 500 * (int64_t)i, 70 + i, 201 + i);
    }
    ck_assert(tried(q, 4000, 7, 104));
    ck_assert(ended(q, 4200, 7, 104));
    ended(q, 4201, 73, 204);
    ck_assert_uint_eq(ask(q, 4300, 7).ends, 4);
    ck_assert_uint_eq(ask(q, 4300, 7).ruled_out, 4);
    expect(q, 4300, 7, CW_VERDICT_TRIAL);
    cw_quarantine_shutdown(q);
}
END_TEST

START_TEST(ends_are_forgotten_one_by_one) {
    cw_quarantine_t* q = setup();
    ended(q, 1000, 7, 101);
    ended(q, 2000, 7, 102);
    ended(q, 3000, 7, 103);
    expect(q, 1000 + KEEP_MS - 1, 7, CW_VERDICT_HELD);
    expect(q, 1000 + KEEP_MS, 7, CW_VERDICT_APART);
    ended(q, 1500 + KEEP_MS, 7, 104); /* one more try, one more server: held anew */
    expect(q, 1500 + KEEP_MS + SETTLED_MS, 7, CW_VERDICT_HELD);
    expect(q, 2000 + 3 * KEEP_MS, 7, CW_VERDICT_FREE);
    ck_assert_uint_eq(cw_quarantine_stats(q, 2000 + 3 * KEEP_MS).entries, 0);
    cw_quarantine_shutdown(q);
}
END_TEST

/* One caller with ten thousand bodies, each of which ended three servers. */
START_TEST(the_bodies_of_one_workspace_push_out_no_others) {
    cw_quarantine_t* q = cw_quarantine_setup(&(cw_quarantine_desc_t){.entries = 256, .keep_ms = KEEP_MS});
    for (uint64_t i = 0; i < 3; i++) {
        ended(q, 1000 + 100 * (int64_t)i, 7, 101 + i);
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
    expect(q, 303000, 7, CW_VERDICT_HELD);
    cw_quarantine_shutdown(q);
}
END_TEST

/* What one host knows, told in parts, is what a host that has just started needs. */
START_TEST(a_host_that_hears_all_marks_comes_to_the_same_verdicts) {
    cw_quarantine_t* q = setup();
    cw_quarantine_t* fresh = setup();
    for (uint64_t body = 0; body < 20; body++) {
        for (uint64_t i = 0; i <= body % 4; i++) {
            ended(q, 1000 + 50 * (int64_t)(body * 4 + i), 7 + body, 100 + body * 4 + i);
        }
    }
    cw_mark_t marks[20];
    uint32_t at = 0;
    uint32_t told = 0;
    do {
        uint32_t count = cw_quarantine_marks(q, 9000, &at, marks, 20);
        for (uint32_t i = 0; i < count; i++) {
            cw_quarantine_take(fresh, 9000, &marks[i]);
        }
        told += count;
    } while (at);
    ck_assert_uint_ge(told, 45); /* of five bodies each, two, three and four ends; and what speaks for them */
    for (uint64_t body = 0; body < 20; body++) {
        expect(fresh, 9000, 7 + body, ask(q, 9000, 7 + body).kind);
    }
    cw_quarantine_shutdown(fresh);
    cw_quarantine_shutdown(q);
}
END_TEST

typedef struct told_t {
    cw_mark_kind_t kind;
    uint64_t content, life;
    int64_t at_ms;
} told_t;

static void tell(cw_quarantine_t* q, const told_t* told, int64_t now_ms) {
    cw_quarantine_take(q, now_ms,
                       &(cw_mark_t){.kind = told->kind,
                                    .request = request(told->content),
                                    .life = told->life,
                                    .age_ms = (uint32_t)(now_ms - told->at_ms)});
}

/* Hosts hear the same marks in any order, some twice: all come to the same verdicts. */
START_TEST(the_order_of_the_news_and_repeats_do_not_matter) {
    told_t told[40];
    uint32_t expected[12] = {0};
    for (uint64_t round = 0; round < 200; round++) {
        for (uint64_t i = 0; i < 40; i++) {
            uint64_t r = cw_mix(i, 1);
            told[i] = (told_t){.kind = i % 13 == 0   ? CW_MARK_ALIVE
                                       : i % 17 == 0 ? CW_MARK_CLEARED
                                                     : CW_MARK_ENDED,
                               .content = 1 + r % 12,
                               .life = 100 + i % 20,
                               .at_ms = 1000 + 2000 * (int64_t)(i % 20) + (i % 13 == 0 ? 400 : 0)};
        }
        cw_quarantine_t* q = setup();
        for (uint32_t i = 0; i < 40 && round; i++) {
            uint32_t j = (uint32_t)(cw_mix(round, i) % 40);
            told_t swap = told[i];
            told[i] = told[j];
            told[j] = swap;
        }
        for (uint32_t i = 0; i < 40; i++) {
            tell(q, &told[i], 50000);
            tell(q, &told[cw_mix(round, i) % (i + 1)], 50000);
        }
        for (uint64_t content = 1; content <= 12; content++) {
            cw_verdict_t v = ask(q, 50000, content);
            expected[content - 1] = round ? expected[content - 1] : v.ends;
            ck_assert_msg(v.ends == expected[content - 1], "round %u, request %u: %u ends, %u at first",
                          (unsigned)round, (unsigned)content, v.ends, expected[content - 1]);
        }
        cw_quarantine_shutdown(q);
    }
}
END_TEST

START_TEST(marks_travel_and_what_is_no_mark_is_refused) {
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

START_TEST(a_fingerprint_tells_requests_apart_by_what_they_are) {
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
    tcase_add_test(t, a_request_under_which_three_servers_ended_is_held);
    tcase_add_test(t, an_end_that_several_hosts_tell_counts_once);
    tcase_add_test(t, an_answer_clears_whatever_the_order_of_the_news);
    tcase_add_test(t, a_sign_of_life_takes_an_end_back_whatever_the_order);
    tcase_add_test(t, ends_among_those_of_other_servers_hold_nobody_at_three);
    tcase_add_test(t, a_request_on_trial_is_sent_three_times_at_most);
    tcase_add_test(t, who_was_there_beside_one_as_suspect_is_not_held_for_it);
    tcase_add_test(t, a_fresh_end_is_not_judged_before_the_news_of_others);
    tcase_add_test(t, the_end_under_a_trial_takes_its_place);
    tcase_add_test(t, ends_are_forgotten_one_by_one);
    tcase_add_test(t, the_bodies_of_one_workspace_push_out_no_others);
    tcase_add_test(t, a_host_that_hears_all_marks_comes_to_the_same_verdicts);
    tcase_add_test(t, the_order_of_the_news_and_repeats_do_not_matter);
    tcase_add_test(t, marks_travel_and_what_is_no_mark_is_refused);
    tcase_add_test(t, a_fingerprint_tells_requests_apart_by_what_they_are);
}

int main(void) {
    return run_suite("quarantine", add_tests, 20);
}
