/*
    The rate that a server advertises for all hosts together: one host's state when responses overtake each other, and
    the sum over many hosts, which must stay within the rate (tests/rate_model.h).
*/
#include "rate_model.h"
#include "test.h"

/* -- one host's view ------------------------------------------------------ */

START_TEST(a_response_without_a_rate_withdraws_it_only_if_it_is_newer) {
    cw_rate_t r = {0};
    ck_assert(cw_rate_on_advertised(&r, 1000, 1020, 2));
    ck_assert(!cw_rate_on_withdrawn(&r, 1010, 1030)); /* the response's request was sent before the rate had arrived */
    ck_assert(cw_rate_is_active(&r, 1030));
    ck_assert(cw_rate_on_withdrawn(&r, 1021, 1040));
    ck_assert(!cw_rate_is_active(&r, 1040));
}
END_TEST

/* The head of a long-running request's response arrives late, but its transit time is bounded. */
START_TEST(a_late_response_head_without_a_rate_withdraws_it) {
    cw_rate_t r = {0};
    cw_rate_on_advertised(&r, 1000, 1020, 2);
    ck_assert(cw_rate_on_withdrawn(&r, 1010, 1020 + CW_RATE_RESPONSE_DELAY_MAX_MS + 1));
}
END_TEST

START_TEST(the_lower_of_two_rates_in_undecided_order_is_active) {
    cw_rate_t r = {0};
    cw_rate_on_advertised(&r, 1000, 1020, 2);
    cw_rate_on_advertised(&r, 1010, 1030, 5);
    ck_assert_double_eq(r.observation.per_s, 2);
    cw_rate_on_advertised(&r, 1031, 1050, 5);
    ck_assert_double_eq(r.observation.per_s, 5);
}
END_TEST

START_TEST(an_older_observation_of_another_host_changes_nothing) {
    cw_rate_t r = {0};
    cw_rate_on_advertised(&r, 1000, 1020, 2);
    cw_rate_on_withdrawn(&r, 1100, 1120);
    cw_rate_observation_t advertised = {.state = CW_RATE_ADVERTISED, .per_s = 3, .at_ms = 1050};
    ck_assert(!cw_rate_on_peer(&r, &advertised, 10));
    cw_rate_observation_t withdrawn = {.state = CW_RATE_WITHDRAWN, .at_ms = 1205};
    cw_rate_on_advertised(&r, 1180, 1200, 2);
    /* The withdrawal may be older than the rate: it was in transit for up to 10 ms. */
    ck_assert(!cw_rate_on_peer(&r, &withdrawn, 10));
    withdrawn.at_ms = 1211;
    ck_assert(cw_rate_on_peer(&r, &withdrawn, 10));
}
END_TEST

START_TEST(a_rate_without_further_observations_expires) {
    cw_rate_t r = {0};
    cw_rate_hosts_t alone = {.server = 5, .own = 1};
    cw_rate_on_advertised(&r, 1000, 1020, 0);
    cw_rate_set_hosts(&r, 1020, &alone);
    ck_assert_uint_gt(cw_rate_wait_ms(&r, 1020), 0);
    ck_assert_uint_eq(cw_rate_wait_ms(&r, 1020 + CW_RATE_EXPIRY_MS + 1), 0);
    ck_assert(cw_rate_on_advertised(&r, 50000, 50020, 0)); /* after its expiry, the same rate is a change */
}
END_TEST

/* An owner that takes over starts with an empty bucket, since the previous owner may just have used up the rate. */
START_TEST(an_owner_that_takes_over_waits_first) {
    uint64_t ids[2] = {rate_id(0), rate_id(1)};
    uint32_t second = cw_rendezvous_rank(5, ids[0], ids, 2) ? 0 : 1;
    cw_rate_hosts_t both = {.server = 5, .own = ids[second], .ids = ids, .count = 2};
    cw_rate_hosts_t alone = {.server = 5, .own = ids[second], .ids = &ids[second], .count = 1};
    cw_rate_t r = {0};
    cw_rate_on_advertised(&r, 1000, 1020, 1);
    cw_rate_set_hosts(&r, 1020, &both);
    ck_assert_uint_eq(cw_rate_wait_ms(&r, 5000), CW_RATE_NEVER);
    cw_rate_set_hosts(&r, 5000, &alone);
    ck_assert_uint_ge(cw_rate_wait_ms(&r, 5000), 1000);
    ck_assert_uint_eq(cw_rate_wait_ms(&r, 6001), 0);
}
END_TEST

/* -- many hosts ----------------------------------------------------------- */

static const double rates[] = {0, 0.5, 1.7, 4, 20};

static rate_model_t make_model(uint32_t hosts, double per_s, uint32_t loss_percent) {
    return (rate_model_t){.hosts = hosts,
                          .per_s = per_s,
                          .advertised_from_ms = 3000,
                          .advertised_until_ms = 20000,
                          .host_demand_per_s = 4,
                          .message_delay_ms = hosts > 16 ? 100 : 5,
                          .loss_percent = loss_percent,
                          .duration_ms = 24000,
                          .seed = 7 + hosts + loss_percent};
}

static void expect_rate_respected(const rate_model_t* m) {
    ck_assert_msg(m->worst_ratio <= 1, "%u hosts, rate %.1f, loss %u: %.2f of what is allowed", m->hosts, m->per_s,
                  m->loss_percent, m->worst_ratio);
    ck_assert_msg(m->all_informed_ms >= 0 && m->all_informed_ms <= RATE_LEARN_MAX_MS, "known after %lld ms",
                  (long long)m->all_informed_ms);
}

/* The hosts stay within the rate, and use it up when the demand exceeds it. */
START_TEST(many_hosts_keep_a_rate_and_use_it) {
    static const uint32_t fleets[] = {6, 81, 300};
    for (uint32_t f = 0; f < 3; f++) {
        for (uint32_t r = 0; r < sizeof(rates) / sizeof(*rates); r++) {
            rate_model_t m = make_model(fleets[f], rates[r], 15 * (r % 3));
            rate_simulate(&m);
            expect_rate_respected(&m);
            ck_assert_msg(rates[r] <= 0 || m.utilization >= 0.8, "%u hosts use %.2f of a rate of %.1f", m.hosts,
                          m.utilization, m.per_s);
        }
    }
}
END_TEST

/* Faults: two thirds of the hosts are killed at once; a third is partitioned for five seconds and runs on; the server
   changes its rate every second. */
START_TEST(the_rate_is_kept_when_hosts_are_killed_or_partitioned_and_when_it_changes) {
    for (uint32_t r = 0; r < sizeof(rates) / sizeof(*rates); r++) {
        for (int fault = 0; fault < 3; fault++) {
            rate_model_t m = make_model(r % 2 ? 81 : 9, rates[r], 10);
            m.killed = fault == 0 ? m.hosts * 2 / 3 : 0;
            m.kill_ms = 11000;
            m.partitioned = fault == 1 ? m.hosts / 3 : 0;
            m.partition_ms = 10000;
            m.heal_ms = 15000;
            m.other_per_s = fault == 2 ? 2 * rates[r] : 0;
            rate_simulate(&m);
            expect_rate_respected(&m);
        }
    }
}
END_TEST

/* The remaining hosts of a fleet that lost most of its hosts use the whole rate, not only their former shares. */
START_TEST(the_remaining_hosts_use_the_whole_rate) {
    rate_model_t m = make_model(9, 4, 0);
    m.killed = 6;
    m.kill_ms = 3500;
    rate_simulate(&m);
    expect_rate_respected(&m);
    ck_assert_double_ge(m.utilization, 0.8);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_response_without_a_rate_withdraws_it_only_if_it_is_newer);
    tcase_add_test(t, a_late_response_head_without_a_rate_withdraws_it);
    tcase_add_test(t, the_lower_of_two_rates_in_undecided_order_is_active);
    tcase_add_test(t, an_older_observation_of_another_host_changes_nothing);
    tcase_add_test(t, a_rate_without_further_observations_expires);
    tcase_add_test(t, an_owner_that_takes_over_waits_first);
    tcase_add_test(t, many_hosts_keep_a_rate_and_use_it);
    tcase_add_test(t, the_rate_is_kept_when_hosts_are_killed_or_partitioned_and_when_it_changes);
    tcase_add_test(t, the_remaining_hosts_use_the_whole_rate);
}

int main(void) {
    return run_suite("rate", add_tests, 120);
}
