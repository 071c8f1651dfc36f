/* Membership of many hosts on one clock. */
#include "fleet.h"
#include "test.h"

static fleet_t fleet;

START_TEST(all_learn_of_all) {
    fleet_setup(&fleet, 60, 1);
    fleet_run(&fleet, 15000);
    ck_assert(fleet_complete(&fleet));
    fleet_shutdown(&fleet);
}
END_TEST

START_TEST(a_dead_host_is_found_by_all) {
    fleet_setup(&fleet, 40, 2);
    fleet_run(&fleet, 10000);
    cw_members_shutdown(fleet.hosts[7]);
    fleet.hosts[7] = NULL;
    fleet_run(&fleet, 20000);
    ck_assert_uint_eq(fleet_holds(&fleet, 7, CW_MEMBER_DEAD), 39);
    fleet_shutdown(&fleet);
}
END_TEST

START_TEST(a_restarted_host_is_alive_again) {
    fleet_setup(&fleet, 20, 3);
    fleet_run(&fleet, 5000);
    cw_members_shutdown(fleet.hosts[7]);
    fleet.hosts[7] = NULL;
    fleet_run(&fleet, 20000);
    fleet_start(&fleet, 7);
    fleet_run(&fleet, 10000);
    ck_assert(fleet_complete(&fleet));
    fleet_shutdown(&fleet);
}
END_TEST

/* Loss alone kills nobody: suspicions are refuted in time. */
START_TEST(loss_kills_nobody) {
    fleet_setup(&fleet, 30, 4 + (uint64_t)_i);
    fleet_run(&fleet, 10000);
    fleet.loss_percent = 10;
    for (int second = 0; second < 120; second++) {
        fleet_run(&fleet, 1000);
        for (uint32_t i = 0; i < fleet.count; i++) {
            ck_assert_uint_eq(fleet_holds(&fleet, i, CW_MEMBER_DEAD), 0);
        }
    }
    fleet_shutdown(&fleet);
}
END_TEST

/* A pause shorter than the suspicion is refuted; the paused host itself blames nobody when it wakes. */
START_TEST(a_paused_host_blames_nobody) {
    fleet_setup(&fleet, 20, 5);
    fleet_run(&fleet, 10000);
    fleet.paused[3] = true;
    fleet_run(&fleet, 30000);
    ck_assert_uint_eq(fleet_holds(&fleet, 3, CW_MEMBER_DEAD), 19);
    fleet.paused[3] = false;
    fleet_run(&fleet, 100);
    for (uint32_t i = 0; i < cw_members_count(fleet.hosts[3]); i++) {
        ck_assert_int_ne(cw_members_at(fleet.hosts[3], i)->info.state, CW_MEMBER_DEAD);
    }
    fleet_run(&fleet, 20000);
    ck_assert(fleet_complete(&fleet));
    fleet_shutdown(&fleet);
}
END_TEST

START_TEST(a_healed_partition_finds_itself) {
    fleet_setup(&fleet, 24, 6);
    fleet_run(&fleet, 10000);
    for (uint32_t i = 0; i < 12; i++) {
        fleet.side[i] = 1;
    }
    fleet_run(&fleet, 60000);
    ck_assert_uint_eq(fleet_holds(&fleet, 20, CW_MEMBER_DEAD), 12);
    memset(fleet.side, 0, sizeof(fleet.side));
    fleet_run(&fleet, 60000);
    ck_assert(fleet_complete(&fleet));
    fleet_shutdown(&fleet);
}
END_TEST

START_TEST(leaving_is_known_within_seconds) {
    fleet_setup(&fleet, 40, 7);
    fleet_run(&fleet, 10000);
    cw_members_leave(fleet.hosts[9]);
    fleet_run(&fleet, 3000);
    uint32_t known = 0;
    for (uint32_t k = 0; k < fleet.count; k++) {
        const cw_member_t* m = cw_members_find(fleet.hosts[k], fleet_id(9));
        known += m->info.leaving && m->info.state == CW_MEMBER_ALIVE;
    }
    ck_assert_uint_eq(known, 40);
    fleet_shutdown(&fleet);
}
END_TEST

/* A connection refused moves the roles at once; when the host lives, it refutes and nobody calls it dead. */
START_TEST(a_refused_connection_is_a_suspicion) {
    fleet_setup(&fleet, 20, 9);
    fleet_run(&fleet, 10000);
    uint64_t live[64];
    cw_members_suspect(fleet.hosts[1], fleet.now_ms, fleet_id(5));
    ck_assert_uint_eq(cw_members_live(fleet.hosts[1], CW_MEMBERS_FOR_ROLES, live, 64), 19);
    fleet_run(&fleet, 3000);
    ck_assert(fleet_complete(&fleet));
    fleet_shutdown(&fleet);
}
END_TEST

/* The cost of a host does not grow with their number. */
START_TEST(cost_stays_constant) {
    double per_host[2];
    const uint32_t sizes[2] = {9, 150};
    for (int i = 0; i < 2; i++) {
        fleet_setup(&fleet, sizes[i], 8);
        fleet_run(&fleet, 300000);
        fleet.bytes = 0;
        fleet_run(&fleet, 30000);
        per_host[i] = (double)fleet.bytes / sizes[i] / 30;
        fleet_shutdown(&fleet);
    }
    ck_assert_msg(per_host[1] < per_host[0] * 2, "%.0f bytes a second at 9, %.0f at 150", per_host[0], per_host[1]);
    ck_assert(per_host[1] < 2048);
}
END_TEST

/* Times of a fleet whose callers notice within a second. */
static const cw_members_desc_t quick = {.period_ms = 250, .timeout_ms = 100, .suspect_ms = 700, .retry_ms = 250};

/* A fleet of which a host is restarted twice a second tells each other all the time that their views differ. Each such
   word was answered by the whole view: 2.2, 3.5 and 4.8 KB a second for each of 60, 240 and 480 hosts, 18 KB at 584
   while news of their start was still told. Pattern: a planned roll of the hosts. */
START_TEST(what_is_told_in_a_roll_follows_what_changes) {
    double per_host[2];
    const uint32_t sizes[2] = {60, 240};
    for (int i = 0; i < 2; i++) {
        fleet_setup_with(&fleet, sizes[i], 10, &quick);
        fleet_run(&fleet, (int64_t)200 * sizes[i]); /* until the news of the start is told */
        fleet.bytes = 0;
        for (uint32_t turn = 0; turn < 8; turn++) {
            uint32_t host = turn * 37 % sizes[i];
            cw_members_shutdown(fleet.hosts[host]);
            fleet_start(&fleet, host);
            fleet_run(&fleet, 500);
        }
        per_host[i] = (double)fleet.bytes / sizes[i] / 4;
        fleet_run(&fleet, 3000);
        ck_assert(fleet_complete(&fleet));
        fleet_shutdown(&fleet);
    }
    ck_assert_msg(per_host[1] < per_host[0] * 1.25, "%.0f bytes a second at 60, %.0f at 240", per_host[0], per_host[1]);
}
END_TEST

/* All hosts of a large fleet lost power and start in the same moment. They knew all of each other after 7.5 s at 295
   hosts and 11 s at 584, since two hosts compared views once in two seconds. */
START_TEST(hosts_that_start_together_know_each_other_soon) {
    fleet_setup_with(&fleet, 240, 11, &quick);
    fleet_run(&fleet, 2000);
    ck_assert(fleet_complete(&fleet));
    fleet_shutdown(&fleet);
}
END_TEST

/* The same on small machines that handle 6,000 messages a second. A seed answered each host that joined with its whole
   view, some hundred messages, so of 584 that came at once it handled a few; the others came again every 250 ms, and it
   never got further. They stayed alone: each read the source by itself and took all engines for its own to ask. */
START_TEST(hosts_that_start_together_do_not_crowd_out_their_seed) {
    fleet_setup_with(&fleet, 400, 12, &quick);
    fleet.handles = 300;
    fleet_run(&fleet, 3000);
    ck_assert(fleet_complete(&fleet));
    fleet_shutdown(&fleet);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, all_learn_of_all);
    tcase_add_test(t, a_dead_host_is_found_by_all);
    tcase_add_test(t, a_restarted_host_is_alive_again);
    tcase_add_loop_test(t, loss_kills_nobody, 0, 3);
    tcase_add_test(t, a_paused_host_blames_nobody);
    tcase_add_test(t, a_healed_partition_finds_itself);
    tcase_add_test(t, leaving_is_known_within_seconds);
    tcase_add_test(t, a_refused_connection_is_a_suspicion);
    tcase_add_test(t, cost_stays_constant);
    tcase_add_test(t, what_is_told_in_a_roll_follows_what_changes);
    tcase_add_test(t, hosts_that_start_together_know_each_other_soon);
    tcase_add_test(t, hosts_that_start_together_do_not_crowd_out_their_seed);
}

int main(void) {
    return run_suite("member", add_tests, 120);
}
