/* Quarantine of requests that crash servers, with simulated time. */

#include "../chalkway_load.h"
#include "../chalkway_quarantine.h"
#include "test.h"

#define RETENTION_MS 600000
#define COINCIDENCE_MS 100 /* time until observations of other crashes at the same moment have arrived */
#define TRIAL_MS 2000      /* time for which the outcome of a trial is awaited */

static cw_quarantine_t* setup(void) {
    return cw_quarantine_setup(&(cw_quarantine_desc_t){.entries = 64, .retention_ms = RETENTION_MS});
}

static cw_fingerprint_t request(uint64_t content_hash) {
    return (cw_fingerprint_t){.workspace = 1, .content_hash = content_hash};
}

static bool report_crash_ago(cw_quarantine_t* q, int64_t now_ms, uint64_t content_hash, uint64_t incarnation,
                             uint32_t age_ms) {
    return cw_quarantine_observe(
        q, now_ms,
        &(cw_quarantine_observation_t){
            .kind = CW_OBSERVED_CRASH, .suspect = request(content_hash), .incarnation = incarnation, .age_ms = age_ms});
}

static bool report_crash(cw_quarantine_t* q, int64_t now_ms, uint64_t content_hash, uint64_t incarnation) {
    return report_crash_ago(q, now_ms, content_hash, incarnation, 0);
}

static bool report_cleared(cw_quarantine_t* q, int64_t now_ms, uint64_t content_hash, uint32_t age_ms) {
    return cw_quarantine_observe(q, now_ms,
                                 &(cw_quarantine_observation_t){
                                     .kind = CW_OBSERVED_CLEARED, .suspect = request(content_hash), .age_ms = age_ms});
}

static bool report_alive(cw_quarantine_t* q, int64_t now_ms, uint64_t incarnation, uint32_t age_ms) {
    return cw_quarantine_observe(
        q, now_ms,
        &(cw_quarantine_observation_t){.kind = CW_OBSERVED_ALIVE, .incarnation = incarnation, .age_ms = age_ms});
}

static bool report_trial(cw_quarantine_t* q, int64_t now_ms, uint64_t content_hash, uint64_t incarnation) {
    return cw_quarantine_observe(q, now_ms,
                                 &(cw_quarantine_observation_t){.kind = CW_OBSERVED_TRIAL,
                                                                .suspect = request(content_hash),
                                                                .incarnation = incarnation});
}

static cw_verdict_t verdict_of(cw_quarantine_t* q, int64_t now_ms, uint64_t content_hash) {
    return cw_quarantine_evaluate(q, now_ms, &(cw_suspects_t){.count = 1, .items = {request(content_hash)}},
                                  &(cw_quarantine_target_t){0});
}

static void expect_verdict(cw_quarantine_t* q, int64_t now_ms, uint64_t content_hash, cw_verdict_kind_t kind) {
    ck_assert_int_eq(verdict_of(q, now_ms, content_hash).kind, kind);
}

START_TEST(request_that_crashed_three_servers_is_quarantined) {
    cw_quarantine_t* q = setup();
    ck_assert(report_crash(q, 1000, 7, 101));
    expect_verdict(q, 1000, 7, CW_VERDICT_ALLOWED);
    ck_assert(report_crash(q, 1200, 7, 102));
    expect_verdict(q, 1200, 7, CW_VERDICT_ISOLATED);
    ck_assert(report_crash(q, 1400, 7, 103));
    ck_assert_uint_eq(verdict_of(q, 1440, 7).retry_ms, COINCIDENCE_MS - 40);
    expect_verdict(q, 1400 + COINCIDENCE_MS - 1, 7, CW_VERDICT_PENDING);
    cw_verdict_t v = verdict_of(q, 1400 + COINCIDENCE_MS, 7);
    ck_assert_int_eq(v.kind, CW_VERDICT_QUARANTINED);
    ck_assert_uint_eq(v.crashes, 3);
    ck_assert_uint_eq(v.retry_ms, RETENTION_MS - 400 - COINCIDENCE_MS);
    expect_verdict(q, 1400, 8, CW_VERDICT_ALLOWED);
    cw_suspects_t other = {.count = 1, .items = {{.workspace = 2, .content_hash = 7}}}; /* from another workspace */
    ck_assert_int_eq(cw_quarantine_evaluate(q, 1400, &other, &(cw_quarantine_target_t){0}).kind, CW_VERDICT_ALLOWED);
    cw_quarantine_shutdown(q);
}
END_TEST

START_TEST(crash_reported_by_several_hosts_counts_once) {
    cw_quarantine_t* q = setup();
    ck_assert(report_crash(q, 1000, 7, 101));
    ck_assert(!report_crash(q, 1003, 7, 101));
    ck_assert(!report_crash_ago(q, 1900, 7, 101, 899));
    ck_assert_uint_eq(verdict_of(q, 1900, 7).crashes, 1);
    ck_assert(report_crash(q, 4000, 7, 101)); /* it restarted, and the server list does not show it yet */
    ck_assert_uint_eq(verdict_of(q, 4000, 7).crashes, 2);
    cw_quarantine_shutdown(q);
}
END_TEST

/* A datagram waited in the socket for up to 2.9 s while this host was suspended. */
static bool report_crash_late(cw_quarantine_t* q, int64_t now_ms, uint32_t age_ms) {
    return cw_quarantine_observe(q, now_ms,
                                 &(cw_quarantine_observation_t){.kind = CW_OBSERVED_CRASH,
                                                                .suspect = request(7),
                                                                .incarnation = 101,
                                                                .age_ms = age_ms + 2900,
                                                                .delay_ms = 2900});
}

/* Guards against a crash that counts twice at a host that was suspended: the time that the datagram may have waited was
   added to its age, and the same crash at two times over a second apart passed for two. */
START_TEST(a_crash_that_is_reported_late_after_a_suspension_counts_once) {
    cw_quarantine_t* q = setup();
    ck_assert(report_crash(q, 10000, 7, 101));
    ck_assert(!report_crash_late(q, 14000, 3990)); /* it was sent just before it was read */
    ck_assert(!report_crash_late(q, 14000, 1100)); /* it has waited for all of the time */
    ck_assert_uint_eq(verdict_of(q, 14000, 7).crashes, 1);
    ck_assert(!report_crash_ago(q, 14100, 7, 101, 4100));
    ck_assert_uint_eq(verdict_of(q, 14100, 7).crashes, 1);
    cw_quarantine_shutdown(q);
    q = setup();
    ck_assert(report_crash_late(q, 14000, 1100)); /* only its bounds are known: 10000 to 12900 */
    ck_assert(!report_crash_ago(q, 14100, 7, 101, 1300));
    ck_assert(!report_crash_ago(q, 14100, 7, 101, 1350));
    ck_assert_uint_eq(verdict_of(q, 14100, 7).crashes, 1);
    ck_assert(report_crash(q, 14150, 7, 101)); /* it started again, and crashed again */
    ck_assert_uint_eq(verdict_of(q, 14150, 7).crashes, 2);
    cw_quarantine_shutdown(q);
}
END_TEST

START_TEST(response_clears_regardless_of_report_order) {
    cw_quarantine_t* q = setup();
    report_crash(q, 1000, 7, 101);
    report_crash(q, 1200, 7, 102);
    ck_assert(report_cleared(q, 1300, 7, 0));
    expect_verdict(q, 1300, 7, CW_VERDICT_ALLOWED);
    ck_assert(!report_crash_ago(q, 1350, 7, 103, 200)); /* crashed before the clearance, reported after it */
    ck_assert(!report_cleared(q, 1400, 7, 0));
    report_crash(q, 1500, 7, 104);
    ck_assert_uint_eq(verdict_of(q, 1500, 7).crashes, 1);
    cw_quarantine_shutdown(q);
}
END_TEST

START_TEST(sign_of_life_disproves_crash_regardless_of_order) {
    cw_quarantine_t* q = setup();
    report_crash(q, 1000, 7, 101);
    report_crash(q, 1000, 8, 101);
    report_crash(q, 1200, 7, 102);
    ck_assert(report_alive(q, 1400, 101, 0));
    ck_assert_uint_eq(verdict_of(q, 1400, 7).crashes, 1);
    ck_assert_uint_eq(verdict_of(q, 1400, 8).crashes, 0);
    ck_assert(!report_crash_ago(q, 1500, 9, 101, 400));
    ck_assert(report_crash(q, 9000, 9, 101)); /* this crash is later than the sign of life */
    ck_assert_uint_eq(verdict_of(q, 9000, 9).crashes, 1);
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
    expect_verdict(q, 3600, 7, CW_VERDICT_ALLOWED);
    cw_quarantine_shutdown(q);
}
END_TEST

/* Three servers crash under request 7, each at the same moment as another server. */
static void report_three_halved_crashes(cw_quarantine_t* q) {
    for (uint64_t i = 0; i < 3; i++) {
        report_crash(q, 1000 + 500 * (int64_t)i, 7, 101 + i);
        report_crash(q, 1001 + 500 * (int64_t)i, 70 + i, 201 + i);
    }
}

/* Three crashes at half weight allow three more attempts, each announced as a trial before it is sent. While these run,
   no other one is sent, and after the crash of their servers none ever. */
START_TEST(request_on_trial_is_sent_at_most_three_times) {
    cw_quarantine_t* q = setup();
    report_three_halved_crashes(q);
    for (uint64_t i = 0; i < 3; i++) {
        expect_verdict(q, 4000, 7, CW_VERDICT_TRIAL);
        ck_assert(report_trial(q, 4000 + (int64_t)i, 7, 900 + i));
    }
    expect_verdict(q, 4002, 7, CW_VERDICT_PENDING);
    expect_verdict(q, 4000 + TRIAL_MS - 1, 7, CW_VERDICT_PENDING);
    ck_assert_uint_eq(verdict_of(q, 4100, 7).crashes, 3);
    for (uint64_t i = 0; i < 3; i++) {
        report_crash(q, 4200, 7, 900 + i);
        report_crash(q, 4201, 80 + i, 300 + i);
    }
    expect_verdict(q, 4200 + COINCIDENCE_MS, 7, CW_VERDICT_QUARANTINED);
    expect_verdict(q, 4000 + 2 * TRIAL_MS, 7, CW_VERDICT_QUARANTINED);
    cw_quarantine_shutdown(q);
}
END_TEST

/* Guards against a trial that counts as a crash although its server runs on: with crashes of two and a half, the trial
   itself made the quarantine complete, and the attempt that it announced was ended. */
START_TEST(a_trial_without_a_crash_quarantines_nothing) {
    cw_quarantine_t* q = setup();
    cw_quarantine_entry_t quarantined;
    report_three_halved_crashes(q);
    report_crash(q, 3000, 7, 104);
    expect_verdict(q, 4000, 7, CW_VERDICT_TRIAL);
    ck_assert(report_trial(q, 4000, 7, 900));
    cw_verdict_t others = verdict_of(q, 4010, 7);
    ck_assert_int_eq(others.kind, CW_VERDICT_PENDING);
    ck_assert_uint_le(others.retry_ms, COINCIDENCE_MS);
    ck_assert(!cw_quarantine_next_newly_quarantined(q, 4010, &quarantined));
    expect_verdict(q, 4000 + TRIAL_MS, 7, CW_VERDICT_TRIAL);
    ck_assert(report_trial(q, 4000 + TRIAL_MS, 7, 901));
    report_crash(q, 5000 + TRIAL_MS, 7, 901);
    expect_verdict(q, 5000 + TRIAL_MS + COINCIDENCE_MS, 7, CW_VERDICT_QUARANTINED);
    cw_quarantine_shutdown(q);
}
END_TEST

static void report_crash_in_phase(cw_quarantine_t* q, int64_t now_ms, uint64_t content_hash, uint64_t incarnation,
                                  cw_run_phase_t phase) {
    cw_quarantine_observe(
        q, now_ms,
        &(cw_quarantine_observation_t){
            .kind = CW_OBSERVED_CRASH, .suspect = request(content_hash), .incarnation = incarnation, .phase = phase});
}

/* Guards against long streams that are quarantined because several servers ended under them, as in an upgrade in place:
   one server had written the response for a while, so the content is no cause that acts as servers begin. */
START_TEST(crashes_of_a_content_that_was_written_for_a_while_count_half) {
    static const cw_run_phase_t phases[] = {CW_RUN_STARTED, CW_RUN_WRITING, CW_RUN_STARTED, CW_RUN_WAITING,
                                            CW_RUN_BEGINNING};
    cw_quarantine_t* q = setup();
    for (uint64_t i = 0; i < 5; i++) {
        report_crash_in_phase(q, 1000 + 500 * (int64_t)i, 7, 101 + i, phases[i]);
    }
    expect_verdict(q, 4000, 7, CW_VERDICT_TRIAL);
    report_crash_in_phase(q, 4000, 7, 106, CW_RUN_WRITING);
    expect_verdict(q, 4000 + COINCIDENCE_MS, 7, CW_VERDICT_QUARANTINED);
    cw_quarantine_shutdown(q);
}
END_TEST

/* A trial that is written for a while shows as much as a crash after it. */
START_TEST(a_trial_that_is_written_for_a_while_halves_the_crashes) {
    cw_quarantine_t* q = setup();
    cw_quarantine_observation_t survival;
    cw_suspects_t suspects = {.count = 1, .items = {request(7)}};
    ck_assert(!cw_quarantine_observe_survival(q, &suspects, 104, 0, &survival));
    for (uint64_t i = 0; i < 3; i++) {
        report_crash(q, 1000 + 500 * (int64_t)i, 7, 101 + i);
    }
    expect_verdict(q, 2000 + COINCIDENCE_MS, 7, CW_VERDICT_QUARANTINED);
    ck_assert(cw_quarantine_observe_survival(q, &suspects, 104, 0, &survival));
    ck_assert(cw_quarantine_observe(q, 2500, &survival));
    ck_assert(!cw_quarantine_observe(q, 2500, &survival));
    expect_verdict(q, 2500, 7, CW_VERDICT_TRIAL);
    cw_quarantine_shutdown(q);
}
END_TEST

/* The host of the trial is gone when the server crashes; others report the crash for their own requests. */
START_TEST(a_trial_whose_server_crashed_counts_half) {
    cw_quarantine_t* q = setup();
    report_three_halved_crashes(q);
    report_crash(q, 3000, 7, 104);
    ck_assert(report_trial(q, 4000, 7, 900));
    report_crash(q, 4200, 50, 900);
    expect_verdict(q, 4000 + TRIAL_MS, 7, CW_VERDICT_QUARANTINED);
    cw_quarantine_shutdown(q);
}
END_TEST

/* Two requests with two crashes each run on a third server that crashes: either may be the cause. */
START_TEST(requests_on_one_crashed_server_count_half) {
    cw_quarantine_t* q = setup();
    for (uint64_t incarnation = 101; incarnation <= 103; incarnation++) {
        int64_t at_ms = 1000 * (int64_t)(incarnation - 100);
        report_crash(q, at_ms, 7, incarnation);
        report_crash(q, at_ms + 1, 8, incarnation);
        /* A request that runs on one server only does not halve the weight for the others. */
        report_crash(q, at_ms + 1, 50 + incarnation, incarnation);
    }
    expect_verdict(q, 3100, 7, CW_VERDICT_TRIAL);
    expect_verdict(q, 3100, 8, CW_VERDICT_TRIAL);
    report_crash(q, 4000, 7, 104); /* request 8 ran elsewhere */
    report_cleared(q, 4000, 8, 0);
    expect_verdict(q, 4000 + COINCIDENCE_MS, 7, CW_VERDICT_QUARANTINED);
    expect_verdict(q, 4000, 8, CW_VERDICT_ALLOWED);
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
    expect_verdict(q, 3010, 7, CW_VERDICT_PENDING);
    ck_assert(!cw_quarantine_next_newly_quarantined(q, 3010, &quarantined));
    report_crash_ago(q, 3060, 50, 203, 58);
    expect_verdict(q, 3060, 7, CW_VERDICT_TRIAL);
    expect_verdict(q, 3200, 7, CW_VERDICT_TRIAL);
    report_crash(q, 4000, 7, 104);
    /* The weight suffices even if this crash counts half. */
    ck_assert(cw_quarantine_next_newly_quarantined(q, 4001, &quarantined));
    ck_assert_uint_eq(quarantined.suspect.content_hash, 7);
    ck_assert_uint_eq(quarantined.verdict.crashes, 4);
    ck_assert(!cw_quarantine_next_newly_quarantined(q, 4110, &quarantined));
    cw_quarantine_shutdown(q);
}
END_TEST

/* The server of a trial crashes: trial and crash count once. */
START_TEST(crash_replaces_its_trial) {
    cw_quarantine_t* q = setup();
    report_three_halved_crashes(q);
    ck_assert(report_trial(q, 4000, 7, 104));
    ck_assert(report_crash(q, 4200, 7, 104));
    report_crash(q, 4201, 73, 204);
    ck_assert_uint_eq(verdict_of(q, 4300, 7).crashes, 4);
    ck_assert_uint_eq(verdict_of(q, 4300, 7).excluded_count, 4);
    expect_verdict(q, 4300, 7, CW_VERDICT_TRIAL);
    cw_quarantine_shutdown(q);
}
END_TEST

START_TEST(crashes_expire_one_by_one) {
    cw_quarantine_t* q = setup();
    report_crash(q, 1000, 7, 101);
    report_crash(q, 2000, 7, 102);
    report_crash(q, 3000, 7, 103);
    expect_verdict(q, 1000 + RETENTION_MS - 1, 7, CW_VERDICT_QUARANTINED);
    expect_verdict(q, 1000 + RETENTION_MS, 7, CW_VERDICT_ISOLATED);
    report_crash(q, 1500 + RETENTION_MS, 7, 104); /* one more attempt crashes one more server: quarantined again */
    expect_verdict(q, 1500 + RETENTION_MS + COINCIDENCE_MS, 7, CW_VERDICT_QUARANTINED);
    expect_verdict(q, 2000 + 3 * RETENTION_MS, 7, CW_VERDICT_ALLOWED);
    ck_assert_uint_eq(cw_quarantine_stats(q, 2000 + 3 * RETENTION_MS).entries, 0);
    cw_quarantine_shutdown(q);
}
END_TEST

/* One workspace sends 10,000 bodies, each of which crashes three servers. */
START_TEST(one_workspace_does_not_evict_entries_of_others) {
    cw_quarantine_t* q = cw_quarantine_setup(&(cw_quarantine_desc_t){.entries = 256, .retention_ms = RETENTION_MS});
    for (uint64_t i = 0; i < 3; i++) {
        report_crash(q, 1000 + 100 * (int64_t)i, 7, 101 + i);
    }
    for (uint64_t body = 0; body < 10000; body++) {
        for (uint64_t i = 0; i < 3; i++) {
            cw_quarantine_observation_t observation = {.kind = CW_OBSERVED_CRASH,
                                                       .suspect = {.workspace = 2, .content_hash = 1000 + body},
                                                       .incarnation = 100000 + 3 * body + i};
            cw_quarantine_observe(q, 2000 + 300 * (int64_t)body / 10 + 40 * (int64_t)i, &observation);
        }
    }
    cw_quarantine_stats_t stats = cw_quarantine_stats(q, 303000);
    ck_assert_uint_eq(stats.entries, 256 / 4 + 1);
    ck_assert_uint_eq(stats.evicted, 10000 - 256 / 4);
    expect_verdict(q, 303000, 7, CW_VERDICT_QUARANTINED);
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
    cw_quarantine_observation_t observations[20];
    uint32_t at = 0;
    uint32_t exported = 0;
    do {
        uint32_t count = cw_quarantine_export(q, 9000, &at, observations, 20);
        for (uint32_t i = 0; i < count; i++) {
            cw_quarantine_observe(fresh, 9000, &observations[i]);
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

/* -- parts of prompts ------------------------------------------------------ */

static cw_suspects_t prompt(uint64_t content_hash, uint64_t first_part, uint64_t second_part) {
    cw_suspects_t suspects = {.count = 1, .items = {request(content_hash)}};
    cw_suspects_add_part(&suspects, first_part);
    cw_suspects_add_part(&suspects, second_part);
    return suspects;
}

static void observe_prompt_crash(cw_quarantine_t* q, int64_t now_ms, const cw_suspects_t* suspects,
                                 const cw_quarantine_observation_t* crash) {
    cw_quarantine_observation_t observations[CW_SUSPECTS_MAX];
    uint32_t count = cw_quarantine_observe_crash(q, now_ms, suspects, crash, observations);
    for (uint32_t i = 0; i < count; i++) {
        cw_quarantine_observe(q, now_ms, &observations[i]);
    }
}

static void report_prompt_crash(cw_quarantine_t* q, int64_t now_ms, const cw_suspects_t* suspects, uint64_t incarnation,
                                cw_run_phase_t phase) {
    const cw_quarantine_observation_t crash = {
        .kind = CW_OBSERVED_CRASH, .incarnation = incarnation, .pool = 1, .phase = phase};
    observe_prompt_crash(q, now_ms, suspects, &crash);
}

static void report_prompt_crash_at_version(cw_quarantine_t* q, int64_t now_ms, const cw_suspects_t* suspects,
                                           uint64_t incarnation, uint32_t version) {
    const cw_quarantine_observation_t crash = {.kind = CW_OBSERVED_CRASH,
                                               .incarnation = incarnation,
                                               .pool = 1,
                                               .version = version,
                                               .phase = CW_RUN_BEGINNING};
    observe_prompt_crash(q, now_ms, suspects, &crash);
}

static bool clear_part(cw_quarantine_t* q, int64_t now_ms, uint64_t part, uint32_t pool) {
    return cw_quarantine_observe(q, now_ms,
                                 &(cw_quarantine_observation_t){.kind = CW_OBSERVED_CLEARED,
                                                                .suspect = cw_fingerprint_of_part(part),
                                                                .pool = pool});
}

static cw_verdict_kind_t verdict_on(cw_quarantine_t* q, int64_t now_ms, const cw_suspects_t* suspects, uint32_t pool) {
    return cw_quarantine_evaluate(q, now_ms, suspects, &(cw_quarantine_target_t){.pool = pool}).kind;
}

/* Requests with nothing else in common crash three servers. */
START_TEST(a_part_that_crashed_three_servers_is_quarantined) {
    cw_quarantine_t* q = setup();
    for (uint64_t i = 0; i < 3; i++) {
        cw_suspects_t bad = prompt(10 + i, 100 + i, 7);
        report_prompt_crash(q, 1000 + 500 * (int64_t)i, &bad, 201 + i, CW_RUN_BEGINNING);
    }
    cw_suspects_t next = prompt(50, 60, 7);
    cw_suspects_t other = prompt(51, 61, 8);
    ck_assert_int_eq(verdict_on(q, 2500, &next, 1), CW_VERDICT_QUARANTINED);
    ck_assert_int_eq(verdict_on(q, 2500, &other, 1), CW_VERDICT_ALLOWED);
    cw_quarantine_shutdown(q);
}
END_TEST

/* One request crashed three servers. It is held whichever of its suspects is the cause, and each alone is tried. */
START_TEST(suspects_of_one_request_do_not_excuse_each_other) {
    cw_quarantine_t* q = setup();
    cw_suspects_t bad = prompt(10, 100, 7);
    for (uint64_t i = 0; i < 3; i++) {
        report_prompt_crash(q, 1000 + 500 * (int64_t)i, &bad, 201 + i, CW_RUN_BEGINNING);
    }
    cw_suspects_t with_part = prompt(11, 101, 7);
    ck_assert_int_eq(verdict_on(q, 2500, &bad, 1), CW_VERDICT_QUARANTINED);
    ck_assert_int_eq(verdict_on(q, 2500, &with_part, 1), CW_VERDICT_TRIAL);
    report_prompt_crash(q, 2600, &with_part, 204, CW_RUN_BEGINNING);
    cw_suspects_t next = prompt(12, 102, 7);
    cw_suspects_t with_first = prompt(13, 100, 8);
    ck_assert_int_eq(verdict_on(q, 2800, &next, 1), CW_VERDICT_QUARANTINED);
    ck_assert_int_eq(verdict_on(q, 2800, &with_first, 1), CW_VERDICT_ALLOWED); /* the other part explains its crashes */
    cw_quarantine_shutdown(q);
}
END_TEST

/* A part crashes three servers while other parts crash a server each at the same moments. Each server had begun to
   respond to a request with its own part, so that no crash excuses another. */
START_TEST(a_part_is_quarantined_while_others_crash_servers_at_the_same_moments) {
    cw_quarantine_t* q = setup();
    for (uint64_t i = 0; i < 3; i++) {
        cw_suspects_t bad = prompt(10 + i, 100 + i, 7);
        cw_suspects_t other = prompt(20 + i, 110 + i, 30 + i);
        report_prompt_crash(q, 1000 + 500 * (int64_t)i, &bad, 201 + i, CW_RUN_BEGINNING);
        report_prompt_crash(q, 1020 + 500 * (int64_t)i, &other, 301 + i, CW_RUN_BEGINNING);
    }
    cw_suspects_t next = prompt(50, 60, 7);
    ck_assert_int_eq(verdict_on(q, 2500, &next, 1), CW_VERDICT_QUARANTINED);
    cw_quarantine_shutdown(q);
}
END_TEST

/* The first crash puts a part on trial: one request at a time, until its outcome is known or two seconds have passed.
 */
START_TEST(one_request_with_a_part_is_on_trial_at_a_time) {
    cw_quarantine_t* q = setup();
    const cw_quarantine_target_t pool = {.pool = 1};
    cw_suspects_t bad = prompt(10, 100, 7);
    cw_suspects_t next = prompt(11, 101, 7);
    report_prompt_crash(q, 1000, &bad, 201, CW_RUN_BEGINNING);
    ck_assert_int_eq(verdict_on(q, 1100, &next, 1), CW_VERDICT_TRIAL);
    ck_assert_uint_eq(cw_quarantine_evaluate(q, 1100, &next, &pool).claims,
                      4); /* the second part is the third suspect */
    ck_assert(!cw_quarantine_evaluate(q, 1100, &next, &pool).is_claimed);
    cw_quarantine_observation_t claim = {
        .kind = CW_OBSERVED_TRIAL, .suspect = cw_fingerprint_of_part(7), .incarnation = 300, .pool = 1};
    ck_assert(cw_quarantine_observe(q, 1100, &claim));
    claim.incarnation = 200; /* of another host, which did not know of the first one: the lower one precedes */
    ck_assert(cw_quarantine_observe(q, 1130, &claim));
    claim.incarnation = 100; /* too late */
    ck_assert(cw_quarantine_observe(q, 1190, &claim));
    ck_assert_int_eq(verdict_on(q, 1200, &next, 1), CW_VERDICT_PENDING);
    next.claim = 300;
    ck_assert_int_eq(verdict_on(q, 1200, &next, 1), CW_VERDICT_PENDING);
    next.claim = 200;
    ck_assert_int_eq(verdict_on(q, 1200, &next, 1), CW_VERDICT_TRIAL);
    ck_assert(cw_quarantine_evaluate(q, 1200, &next, &pool).is_claimed);
    next.claim = 0;
    ck_assert_int_eq(verdict_on(q, 3200, &next, 1), CW_VERDICT_TRIAL);
    ck_assert(clear_part(q, 3300, 7, 1));
    ck_assert_int_eq(verdict_on(q, 3300, &next, 1), CW_VERDICT_ALLOWED);
    cw_quarantine_shutdown(q);
}
END_TEST

/* A part that crashed servers of one software version is tried again once all servers have another one. If that crashes
   too, the part is quarantined; an answer clears it. */
START_TEST(a_quarantined_part_is_tried_at_the_next_software_version) {
    static const cw_quarantine_target_t both = {.pool = 1};
    static const cw_quarantine_target_t first = {.pool = 1, .version = 1};
    static const cw_quarantine_target_t second = {.pool = 1, .version = 2};
    static const cw_verdict_kind_t at_second[] = {CW_VERDICT_ALLOWED, CW_VERDICT_TRIAL, CW_VERDICT_TRIAL,
                                                  CW_VERDICT_TRIAL, CW_VERDICT_QUARANTINED};
    cw_quarantine_t* q = setup();
    for (uint64_t i = 0; i < 5; i++) {
        cw_suspects_t bad = prompt(10 + i, 100 + i, 7);
        report_prompt_crash_at_version(q, 1000 + 500 * (int64_t)i, &bad, 201 + i, i < 3 ? 1 : 2);
        cw_suspects_t next = prompt(50 + i, 60 + i, 7);
        int64_t now_ms = 1200 + 500 * (int64_t)i;
        ck_assert_int_eq(cw_quarantine_evaluate(q, now_ms, &next, &second).kind, at_second[i]);
        if (i >= 2) {
            ck_assert_int_eq(cw_quarantine_evaluate(q, now_ms, &next, &both).kind, CW_VERDICT_QUARANTINED);
        }
        if (i == 2) {
            ck_assert_int_eq(cw_quarantine_evaluate(q, now_ms, &next, &first).kind, CW_VERDICT_QUARANTINED);
        }
    }
    cw_suspects_t next = prompt(60, 70, 7);
    ck_assert(clear_part(q, 4000, 7, 1));
    ck_assert_int_eq(cw_quarantine_evaluate(q, 4000, &next, &second).kind, CW_VERDICT_ALLOWED);
    cw_quarantine_shutdown(q);
}
END_TEST

/* Guards against a sound part that is quarantined while engines are upgraded in place, one after the other, 0.15 s
   apart: some of them end under it. If all that end had run it, it is the cause. */
START_TEST(a_part_is_no_cause_of_a_series_of_crashes_that_others_share) {
    for (uint32_t with_others = 0; with_others < 2; with_others++) {
        cw_quarantine_t* q = setup();
        for (uint64_t i = 0; i < 8; i++) {
            cw_suspects_t bystander = prompt(20 + i, 110 + i, 8);
            cw_suspects_t other = prompt(40 + i, 210 + i, 300 + i);
            bool has_part = i % 2 == 0;
            if (has_part || with_others) {
                report_prompt_crash(q, 1000 + 150 * (int64_t)i, has_part ? &bystander : &other, 201 + i,
                                    has_part ? CW_RUN_BEGINNING : CW_RUN_STARTED);
            }
        }
        cw_suspects_t next = prompt(60, 130, 8);
        cw_verdict_kind_t kind = verdict_on(q, 2200, &next, 1);
        ck_assert_int_eq(kind, with_others ? CW_VERDICT_TRIAL : CW_VERDICT_QUARANTINED);
        cw_quarantine_shutdown(q);
    }
}
END_TEST

/* A request that has only the head of its response is more suspicious than those that wait or have a body. */
START_TEST(a_bystander_in_a_less_suspicious_phase_counts_half_or_not_at_all) {
    static const cw_run_phase_t phases[] = {CW_RUN_WAITING, CW_RUN_STARTED, CW_RUN_WRITING};
    for (size_t p = 0; p < sizeof(phases) / sizeof(phases[0]); p++) {
        cw_quarantine_t* q = setup();
        for (uint64_t i = 0; i < 3; i++) {
            cw_suspects_t bad = prompt(10 + i, 100 + i, 7);
            cw_suspects_t bystander = prompt(20 + i, 110 + i, 8);
            report_prompt_crash(q, 1000 + 500 * (int64_t)i, &bad, 201 + i, CW_RUN_BEGINNING);
            report_prompt_crash(q, 1001 + 500 * (int64_t)i, &bystander, 201 + i, phases[p]);
        }
        cw_suspects_t with_bystander = prompt(30, 120, 8);
        cw_verdict_kind_t kind = verdict_on(q, 2500, &with_bystander, 1);
        ck_assert_int_eq(kind, phases[p] == CW_RUN_WRITING ? CW_VERDICT_ALLOWED : CW_VERDICT_TRIAL);
        cw_quarantine_shutdown(q);
    }
}
END_TEST

/* A part that was answered before is not observed beside one that was not, and alone its crashes count half. */
START_TEST(known_parts_are_suspected_less) {
    cw_quarantine_t* q = setup();
    cw_suspects_t known = prompt(1, 100, 200);
    cw_quarantine_on_answer(q, 500, &known, 1);
    for (uint64_t i = 0; i < 3; i++) {
        cw_suspects_t bad = prompt(10 + i, 100, 7);
        report_prompt_crash(q, 1000 + 500 * (int64_t)i, &bad, 201 + i, CW_RUN_BEGINNING);
    }
    cw_fingerprint_t popular = cw_fingerprint_of_part(100);
    ck_assert(!cw_quarantine_has_crashes(q, &popular));
    for (uint64_t i = 0; i < 6; i++) {
        ck_assert_int_ne(verdict_on(q, 5000 + 500 * (int64_t)i, &known, 1), CW_VERDICT_QUARANTINED);
        cw_suspects_t all_known = prompt(20 + i, 100, 200);
        report_prompt_crash(q, 5000 + 500 * (int64_t)i, &all_known, 301 + i, CW_RUN_BEGINNING);
    }
    ck_assert_int_eq(verdict_on(q, 8000, &known, 1), CW_VERDICT_QUARANTINED);
    cw_quarantine_shutdown(q);
}
END_TEST

/* A host that has just started knows no part. Others that know the popular part do not take its observations for those
   of a new part. Seen in a soak: a part of a quarter of all prompts was held for half a second. */
START_TEST(a_part_that_is_known_here_is_known_whoever_observes_it) {
    cw_quarantine_t* q = setup();
    cw_quarantine_t* fresh = setup();
    cw_suspects_t popular = prompt(1, 100, 200);
    cw_quarantine_on_answer(q, 500, &popular, 1);
    for (uint64_t i = 0; i < 3; i++) {
        cw_quarantine_observation_t observations[CW_SUSPECTS_MAX];
        cw_suspects_t broken = prompt(10 + i, 100, 200);
        const cw_quarantine_observation_t crash = {
            .kind = CW_OBSERVED_CRASH, .incarnation = 201 + i, .pool = 1, .phase = CW_RUN_BEGINNING};
        int64_t now_ms = 1000 + 500 * (int64_t)i;
        uint32_t count = cw_quarantine_observe_crash(fresh, now_ms, &broken, &crash, observations);
        ck_assert_uint_eq(count, 3);
        for (uint32_t k = 0; k < count; k++) {
            cw_quarantine_observe(fresh, now_ms, &observations[k]);
            cw_quarantine_observe(q, now_ms, &observations[k]);
        }
    }
    ck_assert_int_eq(verdict_on(fresh, 2500, &popular, 1), CW_VERDICT_QUARANTINED);
    ck_assert_int_ne(verdict_on(q, 2500, &popular, 1), CW_VERDICT_QUARANTINED);
    cw_quarantine_observation_t exported[CW_SUSPECTS_MAX * 4];
    uint32_t at = 0;
    uint32_t count = cw_quarantine_export(q, 2500, &at, exported, CW_SUSPECTS_MAX * 4);
    for (uint32_t i = 0; i < count; i++) {
        cw_quarantine_observe(fresh, 2500, &exported[i]);
    }
    ck_assert_int_ne(verdict_on(fresh, 2500, &popular, 1), CW_VERDICT_QUARANTINED);
    cw_quarantine_shutdown(fresh);
    cw_quarantine_shutdown(q);
}
END_TEST

/* Another pool may serve the part: its responses say nothing about the first pool, and the crashes there do
   not keep it from the part. */
START_TEST(a_response_clears_a_part_in_its_own_pool_only) {
    cw_quarantine_t* q = setup();
    for (uint64_t i = 0; i < 3; i++) {
        cw_suspects_t bad = prompt(10 + i, 100 + i, 7);
        report_prompt_crash(q, 1000 + 500 * (int64_t)i, &bad, 201 + i, CW_RUN_BEGINNING);
    }
    cw_suspects_t next = prompt(50, 60, 7);
    ck_assert(clear_part(q, 2400, 7, 2));
    ck_assert(!clear_part(q, 2500, 7, 2)); /* known */
    ck_assert_int_eq(verdict_on(q, 2600, &next, 1), CW_VERDICT_QUARANTINED);
    ck_assert_int_eq(verdict_on(q, 2600, &next, 2), CW_VERDICT_ALLOWED);
    ck_assert(clear_part(q, 2700, 7, 0)); /* released by an operator */
    ck_assert_int_eq(verdict_on(q, 2700, &next, 1), CW_VERDICT_ALLOWED);
    cw_quarantine_shutdown(q);
}
END_TEST

START_TEST(repeated_and_surplus_parts_are_left_out) {
    cw_suspects_t suspects = {.count = 1, .items = {request(1)}};
    for (uint64_t i = 0; i < 100; i++) {
        cw_suspects_add_part(&suspects, 1 + i / 2);
    }
    ck_assert_uint_eq(suspects.count, CW_SUSPECTS_MAX);
    ck_assert_uint_eq(suspects.items[CW_SUSPECTS_MAX - 1].content_hash, CW_SUSPECTS_MAX - 1);
}
END_TEST

typedef struct observation_t {
    cw_quarantine_observation_kind_t kind;
    uint64_t content_hash, incarnation;
    int64_t at_ms;
} observation_t;

static void apply_observation(cw_quarantine_t* q, const observation_t* observation, int64_t now_ms) {
    cw_quarantine_observe(q, now_ms,
                          &(cw_quarantine_observation_t){.kind = observation->kind,
                                                         .suspect = request(observation->content_hash),
                                                         .incarnation = observation->incarnation,
                                                         .age_ms = (uint32_t)(now_ms - observation->at_ms)});
}

/* Hosts that receive the same observations in any order, some of them twice, count the same crashes. */
START_TEST(order_and_duplicates_of_observations_do_not_matter) {
    observation_t observations[40];
    uint32_t expected[12] = {0};
    for (uint64_t round = 0; round < 200; round++) {
        for (uint64_t i = 0; i < 40; i++) {
            uint64_t r = cw_mix(i, 1);
            observations[i] = (observation_t){.kind = i % 13 == 0   ? CW_OBSERVED_ALIVE
                                                      : i % 17 == 0 ? CW_OBSERVED_CLEARED
                                                                    : CW_OBSERVED_CRASH,
                                              .content_hash = 1 + r % 12,
                                              .incarnation = 100 + i % 20,
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
        for (uint64_t content_hash = 1; content_hash <= 12; content_hash++) {
            cw_verdict_t v = verdict_of(q, 50000, content_hash);
            expected[content_hash - 1] = round ? expected[content_hash - 1] : v.crashes;
            ck_assert_msg(v.crashes == expected[content_hash - 1],
                          "round %u, request %u: %u crashes, %u in the first round", (unsigned)round,
                          (unsigned)content_hash, v.crashes, expected[content_hash - 1]);
        }
        cw_quarantine_shutdown(q);
    }
}
END_TEST

START_TEST(observations_are_encoded_and_invalid_ones_rejected) {
    static cw_load_message_t message = {.cluster = 1, .host = 2, .observation_count = CW_LOAD_OBSERVATIONS};
    static cw_load_message_t read;
    uint8_t bytes[CW_LOAD_BYTES];
    for (uint32_t i = 0; i < CW_LOAD_OBSERVATIONS; i++) {
        message.observations[i] = (cw_quarantine_observation_t){
            .kind = (cw_quarantine_observation_kind_t)(i % CW_OBSERVED_COUNT),
            .suspect = {.workspace = UINT64_MAX - i, .content_hash = UINT64_MAX / (i + 1)},
            .incarnation = UINT64_MAX,
            .pool = UINT32_MAX,
            .version = i % 3 ? UINT32_MAX - i : 0,
            .phase = (cw_run_phase_t)(i % CW_RUN_PHASE_COUNT),
            .is_known = i % 2,
            .age_ms = UINT32_MAX - i};
    }
    size_t size = cw_load_encode(&message, bytes, sizeof(bytes));
    ck_assert_uint_gt(size, 0);
    ck_assert_int_eq(cw_load_decode(&read, bytes, size, NULL), CW_OK);
    ck_assert_uint_eq(read.observation_count, CW_LOAD_OBSERVATIONS);
    for (uint32_t i = 0; i < CW_LOAD_OBSERVATIONS; i++) {
        ck_assert_int_eq(read.observations[i].kind, message.observations[i].kind);
        ck_assert(cw_fingerprint_equal(&read.observations[i].suspect, &message.observations[i].suspect));
        ck_assert_uint_eq(read.observations[i].incarnation, message.observations[i].incarnation);
        ck_assert_uint_eq(read.observations[i].pool, message.observations[i].pool);
        ck_assert_uint_eq(read.observations[i].version, message.observations[i].version);
        ck_assert_int_eq(read.observations[i].phase, message.observations[i].phase);
        ck_assert_int_eq(read.observations[i].is_known, message.observations[i].is_known);
        ck_assert_uint_eq(read.observations[i].age_ms, message.observations[i].age_ms);
    }
    message.observation_count = 1;
    message.observations[0].kind = CW_OBSERVED_COUNT;
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
        ck_assert(!cw_fingerprint_equal(&first, &other));
    }
    cw_fingerprint_t again = cw_fingerprint(1, &parts);
    cw_fingerprint_t caller = cw_fingerprint(2, &parts);
    ck_assert(cw_fingerprint_equal(&first, &again));
    ck_assert(!cw_fingerprint_equal(&first, &caller));
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, request_that_crashed_three_servers_is_quarantined);
    tcase_add_test(t, crash_reported_by_several_hosts_counts_once);
    tcase_add_test(t, response_clears_regardless_of_report_order);
    tcase_add_test(t, sign_of_life_disproves_crash_regardless_of_order);
    tcase_add_test(t, three_coincident_crashes_do_not_quarantine);
    tcase_add_test(t, request_on_trial_is_sent_at_most_three_times);
    tcase_add_test(t, a_trial_without_a_crash_quarantines_nothing);
    tcase_add_test(t, a_trial_whose_server_crashed_counts_half);
    tcase_add_test(t, a_crash_that_is_reported_late_after_a_suspension_counts_once);
    tcase_add_test(t, crashes_of_a_content_that_was_written_for_a_while_count_half);
    tcase_add_test(t, a_trial_that_is_written_for_a_while_halves_the_crashes);
    tcase_add_test(t, requests_on_one_crashed_server_count_half);
    tcase_add_test(t, recent_crash_is_pending_until_other_reports_arrive);
    tcase_add_test(t, crash_replaces_its_trial);
    tcase_add_test(t, crashes_expire_one_by_one);
    tcase_add_test(t, one_workspace_does_not_evict_entries_of_others);
    tcase_add_test(t, exported_observations_give_the_same_verdicts);
    tcase_add_test(t, a_part_that_crashed_three_servers_is_quarantined);
    tcase_add_test(t, suspects_of_one_request_do_not_excuse_each_other);
    tcase_add_test(t, a_part_is_quarantined_while_others_crash_servers_at_the_same_moments);
    tcase_add_test(t, one_request_with_a_part_is_on_trial_at_a_time);
    tcase_add_test(t, a_quarantined_part_is_tried_at_the_next_software_version);
    tcase_add_test(t, a_part_is_no_cause_of_a_series_of_crashes_that_others_share);
    tcase_add_test(t, a_bystander_in_a_less_suspicious_phase_counts_half_or_not_at_all);
    tcase_add_test(t, known_parts_are_suspected_less);
    tcase_add_test(t, a_part_that_is_known_here_is_known_whoever_observes_it);
    tcase_add_test(t, a_response_clears_a_part_in_its_own_pool_only);
    tcase_add_test(t, repeated_and_surplus_parts_are_left_out);
    tcase_add_test(t, order_and_duplicates_of_observations_do_not_matter);
    tcase_add_test(t, observations_are_encoded_and_invalid_ones_rejected);
    tcase_add_test(t, fingerprint_depends_on_content_and_workspace);
}

int main(void) {
    return run_suite("quarantine", add_tests, 20);
}
