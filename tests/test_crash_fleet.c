/*
    Fleets whose engines are crashed by a part of prompts, or by a body that is sent again and again (crash_model.h).

    Guards against a quarantine that holds at one host or with one cause only: at most four engines may crash under a
    cause, no request with it may reach an engine once all hosts can know, and the prompts that share its other parts
    must be served, in fleets of 3 to 300 hosts, with lost datagrams, and after all hosts were lost.
*/
#include "crash_model.h"

#include "test.h"

#define CRASHES_MAX 4
#define SEEDS 8
#define NEIGHBOURS_MIN 0.9 /* share of the prompts with the same other parts that begin at the first attempt */

static const model_desc_t small_fleet = {
    .hosts = 12, .engines = 12, .causes = 1, .period_ms = 150, .sound_per_s = 5, .until_ms = 30000};

static void check(const model_desc_t* desc, uint64_t seeds) {
    for (uint64_t seed = 1; seed <= seeds; seed++) {
        model_desc_t d = *desc;
        d.seed = seed;
        model_result_t r = model_run(&d);
        for (uint32_t cause = 0; cause < d.causes; cause++) {
            uint32_t crashes = d.hosts_lost_ms ? r.crashes_after_loss[cause] : r.crashes[cause];
            ck_assert_msg(crashes <= CRASHES_MAX, "seed %d, cause %u: %u engines crashed", (int)seed, cause, crashes);
            ck_assert_msg(d.hosts_lost_ms || !r.late_arrivals[cause], "seed %d, cause %u: %u late arrivals", (int)seed,
                          cause, r.late_arrivals[cause]);
        }
        ck_assert_msg(r.late_begun >= NEIGHBOURS_MIN * r.late_sent, "seed %d: %u of %u neighbours began", (int)seed,
                      r.late_begun, r.late_sent);
        ck_assert_uint_eq(r.sound_refused_for_part, 0);
    }
}

START_TEST(a_part_crashes_at_most_four_engines_in_a_fleet_of_three) {
    model_desc_t d = small_fleet;
    d.hosts = 3;
    check(&d, SEEDS);
}
END_TEST

START_TEST(a_part_crashes_at_most_four_engines_in_a_fleet_of_twelve) {
    check(&small_fleet, SEEDS);
}
END_TEST

START_TEST(a_part_crashes_at_most_four_engines_in_a_fleet_of_300) {
    model_desc_t d = small_fleet;
    d.hosts = 300;
    d.engines = 90;
    d.sound_per_s = 3;
    d.until_ms = 28000;
    check(&d, 1);
}
END_TEST

START_TEST(a_first_part_crashes_at_most_four_engines) {
    model_desc_t d = small_fleet;
    d.is_first_part = true;
    check(&d, SEEDS);
}
END_TEST

START_TEST(a_part_that_comes_seldom_crashes_at_most_four_engines) {
    model_desc_t d = small_fleet;
    d.period_ms = 1500;
    d.until_ms = 40000;
    check(&d, SEEDS);
}
END_TEST

/* Engines that send no head before the first event: the cause is in the same phase as what waits beside it. */
START_TEST(a_part_crashes_at_most_four_engines_that_send_no_head) {
    model_desc_t d = small_fleet;
    d.has_no_head = true;
    check(&d, SEEDS);
}
END_TEST

START_TEST(a_part_crashes_at_most_four_engines_while_a_third_of_the_datagrams_is_lost) {
    model_desc_t d = small_fleet;
    d.loss = 1.0 / 3;
    check(&d, SEEDS);
}
END_TEST

START_TEST(a_part_crashes_at_most_four_engines_after_all_hosts_were_lost) {
    model_desc_t d = small_fleet;
    d.hosts_lost_ms = 25000;
    check(&d, SEEDS);
}
END_TEST

START_TEST(a_body_crashes_at_most_four_engines) {
    model_desc_t d = small_fleet;
    d.is_body = true;
    check(&d, SEEDS);
}
END_TEST

/* Ten parts in turn, each of which crashes engines of 24. */
START_TEST(ten_parts_crash_at_most_four_engines_each) {
    model_desc_t d = small_fleet;
    d.engines = 24;
    d.causes = 10;
    d.period_ms = 1500;
    check(&d, SEEDS / 2);
}
END_TEST

/* A fifth of the engines crash by themselves every 0.7 s: the prompts that break with them are not to blame. */
START_TEST(crashes_without_a_cause_quarantine_no_part) {
    model_desc_t d = small_fleet;
    d.causes = 0;
    d.random_crashes_ms = 700;
    check(&d, SEEDS / 2);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_part_crashes_at_most_four_engines_in_a_fleet_of_three);
    tcase_add_test(t, a_part_crashes_at_most_four_engines_in_a_fleet_of_twelve);
    tcase_add_test(t, a_part_crashes_at_most_four_engines_in_a_fleet_of_300);
    tcase_add_test(t, a_first_part_crashes_at_most_four_engines);
    tcase_add_test(t, a_part_that_comes_seldom_crashes_at_most_four_engines);
    tcase_add_test(t, a_part_crashes_at_most_four_engines_that_send_no_head);
    tcase_add_test(t, a_part_crashes_at_most_four_engines_while_a_third_of_the_datagrams_is_lost);
    tcase_add_test(t, a_part_crashes_at_most_four_engines_after_all_hosts_were_lost);
    tcase_add_test(t, a_body_crashes_at_most_four_engines);
    tcase_add_test(t, ten_parts_crash_at_most_four_engines_each);
    tcase_add_test(t, crashes_without_a_cause_quarantine_no_part);
}

int main(void) {
    return run_suite("crash fleet", add_tests, 120);
}
