/* What daemons exchange about the source, on a simulated clock: the ages of documents, fetches from peers, and which
   daemon polls the source when. */
#include <stdio.h>
#include <string.h>

#include "../chalkway_load.h"
#include "../chalkway_poll.h"
#include "../chalkway_pull.h"
#include "test.h"

/* -- ages ----------------------------------------------------------------- */

#define TRANSIT_MS 3          /* transit time of a datagram */
#define SEND_INTERVAL_MS 1    /* between datagrams of a daemon */
#define ASSUMED_TRANSIT_MS 25 /* upper bound of the transit time that a receiver adds */

/* Guards against ages that stay young: two daemons confirm each other's source state without end, while nobody polls
   the source. */
START_TEST(daemons_that_confirm_each_other_age_alike) {
    int64_t known_ms[2] = {0, 0}; /* when each state was confirmed; both were polled at 0 */
    uint32_t sent_age_ms[TRANSIT_MS][2];
    memset(sent_age_ms, 0, sizeof(sent_age_ms));
    for (int64_t now_ms = 0; now_ms < 5000; now_ms += SEND_INTERVAL_MS) {
        uint32_t slot = (uint32_t)(now_ms % TRANSIT_MS);
        for (int receiver = 0; receiver < 2 && now_ms >= TRANSIT_MS; receiver++) {
            cw_source_state_t k = {.revision_age_ms = sent_age_ms[slot][1 - receiver], .servers_age_ms = UINT32_MAX};
            cw_source_state_add_age(&k, ASSUMED_TRANSIT_MS);
            int64_t received_ms = now_ms - k.revision_age_ms;
            known_ms[receiver] = received_ms > known_ms[receiver] ? received_ms : known_ms[receiver];
            ck_assert_uint_eq(k.servers_age_ms, UINT32_MAX); /* the age of a list that was never read stays unknown */
        }
        for (int sender = 0; sender < 2; sender++) {
            sent_age_ms[slot][sender] = (uint32_t)(now_ms - known_ms[sender]);
        }
    }
    ck_assert_int_le(known_ms[0], 0);
    ck_assert_int_le(known_ms[1], 0);
}
END_TEST

/* When a fleet grows tenfold, a host receives less than four times as many heartbeats. */
START_TEST(daemons_of_a_large_fleet_send_fewer_heartbeats) {
    double datagrams_per_s[2] = {0, 0};
    const uint32_t fleet_sizes[2] = {9, 90};
    for (int i = 0; i < 2; i++) {
        for (uint32_t rank = 0; rank < fleet_sizes[i]; rank++) {
            datagrams_per_s[i] += 1000.0 / cw_load_heartbeat_interval_ms(rank, fleet_sizes[i]);
        }
    }
    ck_assert_double_lt(datagrams_per_s[1], 4 * datagrams_per_s[0]);
    ck_assert_uint_eq(cw_load_heartbeat_interval_ms(8, 9), 100);
    ck_assert_uint_eq(cw_load_heartbeat_interval_ms(0, 330), 100); /* the daemon that polls the source */
}
END_TEST

/* -- pulls ---------------------------------------------------------------- */

#define DAEMONS 84
#define COPY_MS 10                                          /* time for which a copy occupies the link of its sender */
#define SINGLE_HOLDER_MS ((int64_t)(DAEMONS - 1) * COPY_MS) /* duration of the spread if all ask the first holder */

/* Simulates the spread of a document. All daemons get an offer of its only holder at 0, and offers of further holders
   as these receive it. Returns when the last daemon has it. */
static int64_t simulate_spread(uint64_t seed, bool is_delayed) {
    cw_pull_t pulls[DAEMONS] = {{0}};
    int64_t received_at_ms[DAEMONS], free_ms[DAEMONS] = {0};
    char names[DAEMONS][16];
    int64_t last_ms = 0;
    for (int i = 0; i < DAEMONS; i++) {
        received_at_ms[i] = i ? INT64_MAX : 0;
        snprintf(names[i], sizeof(names[i]), "%d", i);
    }
    for (int64_t now_ms = 0; now_ms < 3000; now_ms++) {
        for (int i = 1; i < DAEMONS; i++) {
            for (int holder = 0; holder < DAEMONS && received_at_ms[i] == INT64_MAX; holder++) {
                if (received_at_ms[holder] != now_ms) {
                    continue; /* a daemon sends its offer when it receives the document */
                }
                cw_pull_add_offer(&pulls[i],
                                  &(cw_pull_offer_t){.now_ms = now_ms,
                                                     .version = 7,
                                                     .peer = names[holder],
                                                     .daemons = is_delayed ? DAEMONS : 0,
                                                     .random = cw_mix(seed, (uint64_t)(now_ms * DAEMONS + i))});
            }
            const char* peer = received_at_ms[i] == INT64_MAX ? cw_pull_due(&pulls[i], now_ms) : NULL;
            if (peer) {
                int holder = atoi(peer);
                free_ms[holder] = (free_ms[holder] > now_ms ? free_ms[holder] : now_ms) + COPY_MS;
                received_at_ms[i] = free_ms[holder];
            }
        }
    }
    for (int i = 0; i < DAEMONS; i++) {
        ck_assert_int_ne(received_at_ms[i], INT64_MAX);
        last_ms = received_at_ms[i] > last_ms ? received_at_ms[i] : last_ms;
    }
    return last_ms;
}

START_TEST(a_document_spreads_without_overloading_its_first_holder) {
    for (uint64_t seed = 1; seed <= 20; seed++) {
        int64_t undelayed_ms = simulate_spread(seed, false);
        int64_t delayed_ms = simulate_spread(seed, true);
        ck_assert_int_ge(undelayed_ms, SINGLE_HOLDER_MS);
        ck_assert_msg(delayed_ms <= 400, "seed %llu: %lld ms", (unsigned long long)seed, (long long)delayed_ms);
    }
}
END_TEST

/* Traffic between halls is expensive: only the first few hosts of a hall fetch a document from another hall. */
START_TEST(a_peer_of_the_own_hall_is_preferred) {
    for (uint64_t seed = 0; seed < 50; seed++) {
        cw_pull_t pull = {0};
        for (uint64_t i = 0; i < 20; i++) {
            cw_pull_add_offer(&pull, &(cw_pull_offer_t){.version = 4,
                                                        .peer = i == 10 ? "near" : "far",
                                                        .is_remote = i != 10,
                                                        .daemons = 100,
                                                        .random = cw_mix(seed, i)});
        }
        ck_assert_str_eq(cw_pull_due(&pull, 1000), "near");
        cw_pull_add_offer(
            &pull, &(cw_pull_offer_t){.now_ms = 1000, .version = 5, .peer = "far", .is_remote = true, .daemons = 9});
        ck_assert_str_eq(cw_pull_due(&pull, 2000), "far"); /* the only offer */
    }
}
END_TEST

START_TEST(a_newer_version_is_fetched_from_its_holder) {
    cw_pull_t pull = {0};
    cw_pull_offer_t offer = {.now_ms = 0, .version = 4, .peer = "old", .daemons = 100};
    for (uint64_t i = 0; i < 50; i++) {
        offer.random = i;
        cw_pull_add_offer(&pull, &offer);
    }
    offer.version = 6;
    offer.peer = "new";
    offer.random = 99;
    cw_pull_add_offer(&pull, &offer);
    const char* peer = cw_pull_due(&pull, 1000);
    ck_assert_ptr_nonnull(peer);
    ck_assert_str_eq(peer, "new");
    ck_assert_ptr_null(cw_pull_due(&pull, 2000)); /* the peer is asked only once */
    cw_pull_add_offer(&pull, &offer);
    cw_pull_cancel(&pull);
    ck_assert_ptr_null(cw_pull_due(&pull, 3000));
}
END_TEST

/* -- polls ---------------------------------------------------------------- */

#define FLEET_HOSTS 84
#define SMALL_FLEET_CALLS_MIN 80 /* calls of a fleet of 8 hosts in 10 s: each calls about once a second */

/* Returns the number of calls that a fleet makes while the source is unavailable. */
static uint32_t calls_during_outage(uint32_t hosts, int64_t outage_ms) {
    uint32_t calls = 0;
    for (uint32_t rank = 0; rank < hosts; rank++) {
        cw_poll_t r = {.poll_age_ms = 400, .rank = rank, .seed = rank};
        uint32_t failures = 0;
        for (int64_t now_ms = 0; now_ms < outage_ms; now_ms += cw_poll_backoff_ms(&r, ++failures, calls)) {
            calls++;
        }
    }
    return calls;
}

START_TEST(a_large_fleet_makes_few_calls_during_an_outage) {
    uint32_t small_calls = calls_during_outage(8, 10000);
    uint32_t large_calls = calls_during_outage(FLEET_HOSTS, 10000);
    ck_assert_uint_gt(small_calls, SMALL_FLEET_CALLS_MIN); /* each host of a small fleet calls about once a second */
    /* Ten times as many hosts make less than five times as many calls. */
    ck_assert_uint_lt(large_calls, (uint64_t)5 * small_calls);
    cw_poll_t first = {.poll_age_ms = 400};
    for (uint64_t random = 0; random < 1000; random++) {
        ck_assert_uint_le(cw_poll_backoff_ms(&first, 20, random), 1000);
        ck_assert_uint_ge(cw_poll_backoff_ms(&first, 1, random), 50);
    }
}
END_TEST

START_TEST(the_first_rank_polls_and_the_next_ones_when_it_fails) {
    for (uint32_t rank = 0; rank < 10; rank++) {
        cw_poll_t r = {.poll_age_ms = 400, .rank = rank};
        int64_t poll_age_limit_ms = 400 + 120 * (rank < 5 ? rank : 5);
        ck_assert(!cw_poll_is_due(&r, 1000, 1000 + poll_age_limit_ms - 1));
        ck_assert(cw_poll_is_due(&r, 1000, 1000 + poll_age_limit_ms));
    }
}
END_TEST

/* The confirmation by another daemon's poll arrives late: some hosts poll as well, but never all at once. Guards
   against one poll age for all ranks but the first five: when the confirmation took longer than that to reach 584
   hosts, each of them polled the source, 31 pages each. */
START_TEST(a_delayed_confirmation_causes_few_polls) {
    enum { HOSTS = 584, MS = 20 };
    cw_poll_t r = {.poll_age_ms = 1000, .daemons = HOSTS, .last_rank_poll_age_ms = 3500};
    uint32_t before = 0;
    for (int64_t age_ms = 0; age_ms <= 3500; age_ms += MS) {
        uint32_t due = 0;
        for (r.rank = 0; r.rank < HOSTS; r.rank++) {
            due += cw_poll_is_due(&r, 1000, 1000 + age_ms);
        }
        ck_assert_uint_le(due - before, HOSTS / 20);
        before = due;
    }
    ck_assert_uint_eq(before, HOSTS); /* no host waits longer */
}
END_TEST

/* At the start, when no document is known, a few hosts poll within 200 ms, the first ranks within 700 ms, then one
   after the other. Guards against overload of the source: 301 hosts that polled 60 pages each in the same second got 7
   pages a second, and were ready after 30 s. */
START_TEST(at_the_start_a_few_hosts_poll_first) {
    uint32_t early_polls = 0;
    uint32_t within_a_second = 0;
    for (uint32_t rank = 0; rank < FLEET_HOSTS; rank++) {
        cw_poll_t r = {
            .poll_age_ms = 400, .rank = rank, .daemons = FLEET_HOSTS, .started_ms = 5000, .seed = cw_mix(7, rank)};
        early_polls += cw_poll_is_due(&r, CW_POLL_NEVER, 5200);
        within_a_second += cw_poll_is_due(&r, CW_POLL_NEVER, 6000);
        ck_assert(rank > 5 || cw_poll_is_due(&r, CW_POLL_NEVER, 5700));
        ck_assert(cw_poll_is_due(&r, CW_POLL_NEVER, 5700 + 20 * (int64_t)rank));
    }
    ck_assert_uint_ge(early_polls, 1);
    ck_assert_uint_le(early_polls, 5);
    ck_assert_uint_le(within_a_second, 30);
    cw_poll_t single = {.poll_age_ms = 400, .daemons = 1, .started_ms = 5000};
    /* The host may be one of many that don't know each other yet. */
    ck_assert(!cw_poll_is_due(&single, CW_POLL_NEVER, 5199));
    ck_assert(cw_poll_is_due(&single, CW_POLL_NEVER, 5400));
}
END_TEST

/* While there is no traffic, all but a few hosts can wait for the documents that the first ones poll, but not
   forever. */
START_TEST(at_the_first_start_daemons_wait_for_each_other) {
    uint32_t early_polls = 0;
    for (uint32_t rank = 0; rank < FLEET_HOSTS; rank++) {
        cw_poll_t r = {.poll_age_ms = 400, .started_ms = 5000, .is_first_start = true, .seed = cw_mix(7, rank)};
        early_polls += cw_poll_is_due(&r, CW_POLL_NEVER, 5200); /* ranks are not known yet */
        r.rank = rank;
        ck_assert(cw_poll_is_due(&r, CW_POLL_NEVER, 12000));
    }
    ck_assert_uint_ge(early_polls, 1);
    ck_assert_uint_le(early_polls, FLEET_HOSTS / 4);
    cw_poll_t single = {.poll_age_ms = 400, .daemons = 1, .started_ms = 5000, .is_first_start = true};
    ck_assert(!cw_poll_is_due(&single, CW_POLL_NEVER, 6999)); /* by then the host would know its peers and its rank */
    ck_assert(cw_poll_is_due(&single, CW_POLL_NEVER, 9000));
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, at_the_first_start_daemons_wait_for_each_other);
    tcase_add_test(t, a_large_fleet_makes_few_calls_during_an_outage);
    tcase_add_test(t, the_first_rank_polls_and_the_next_ones_when_it_fails);
    tcase_add_test(t, a_delayed_confirmation_causes_few_polls);
    tcase_add_test(t, at_the_start_a_few_hosts_poll_first);
    tcase_add_test(t, daemons_that_confirm_each_other_age_alike);
    tcase_add_test(t, daemons_of_a_large_fleet_send_fewer_heartbeats);
    tcase_add_test(t, a_document_spreads_without_overloading_its_first_holder);
    tcase_add_test(t, a_peer_of_the_own_hall_is_preferred);
    tcase_add_test(t, a_newer_version_is_fetched_from_its_holder);
}

int main(void) {
    return run_suite("news", add_tests, 30);
}
