/* Membership of many hosts with simulated time. */
#include "fleet.h"
#include "test.h"

static fleet_t fleet;

START_TEST(every_host_discovers_every_other) {
    fleet_setup(&fleet, 60, 1);
    fleet_run(&fleet, 15000);
    ck_assert(fleet_is_converged(&fleet));
    fleet_shutdown(&fleet);
}
END_TEST

START_TEST(dead_host_is_detected_by_all) {
    fleet_setup(&fleet, 40, 2);
    fleet_run(&fleet, 10000);
    cw_members_shutdown(fleet.hosts[7]);
    fleet.hosts[7] = NULL;
    fleet_run(&fleet, 20000);
    ck_assert_uint_eq(fleet_count_in_state(&fleet, 7, CW_MEMBER_DEAD), 39);
    fleet_shutdown(&fleet);
}
END_TEST

START_TEST(restarted_host_is_alive_again) {
    fleet_setup(&fleet, 20, 3);
    fleet_run(&fleet, 5000);
    cw_members_shutdown(fleet.hosts[7]);
    fleet.hosts[7] = NULL;
    fleet_run(&fleet, 20000);
    fleet_start(&fleet, 7);
    fleet_run(&fleet, 10000);
    ck_assert(fleet_is_converged(&fleet));
    fleet_shutdown(&fleet);
}
END_TEST

/* With 10% packet loss, suspicions are refuted before a host is declared dead. */
START_TEST(packet_loss_causes_no_false_deaths) {
    fleet_setup(&fleet, 30, 4 + (uint64_t)_i);
    fleet_run(&fleet, 10000);
    fleet.loss_percent = 10;
    for (int second = 0; second < 120; second++) {
        fleet_run(&fleet, 1000);
        for (uint32_t i = 0; i < fleet.count; i++) {
            ck_assert_uint_eq(fleet_count_in_state(&fleet, i, CW_MEMBER_DEAD), 0);
        }
    }
    fleet_shutdown(&fleet);
}
END_TEST

/* A host that was suspended until the others declared it dead must declare nobody dead on resume, and becomes alive
   again. */
START_TEST(suspended_host_declares_nobody_dead) {
    fleet_setup(&fleet, 20, 5);
    fleet_run(&fleet, 10000);
    fleet.is_suspended[3] = true;
    fleet_run(&fleet, 30000);
    ck_assert_uint_eq(fleet_count_in_state(&fleet, 3, CW_MEMBER_DEAD), 19);
    fleet.is_suspended[3] = false;
    fleet_run(&fleet, 100);
    for (uint32_t i = 0; i < cw_members_count(fleet.hosts[3]); i++) {
        ck_assert_int_ne(cw_members_at(fleet.hosts[3], i)->info.state, CW_MEMBER_DEAD);
    }
    fleet_run(&fleet, 20000);
    ck_assert(fleet_is_converged(&fleet));
    fleet_shutdown(&fleet);
}
END_TEST

START_TEST(healed_partition_converges) {
    fleet_setup(&fleet, 24, 6);
    fleet_run(&fleet, 10000);
    for (uint32_t i = 0; i < 12; i++) {
        fleet.partition[i] = 1;
    }
    fleet_run(&fleet, 60000);
    ck_assert_uint_eq(fleet_count_in_state(&fleet, 20, CW_MEMBER_DEAD), 12);
    memset(fleet.partition, 0, sizeof(fleet.partition));
    fleet_run(&fleet, 60000);
    ck_assert(fleet_is_converged(&fleet));
    fleet_shutdown(&fleet);
}
END_TEST

START_TEST(leaving_spreads_within_seconds) {
    fleet_setup(&fleet, 40, 7);
    fleet_run(&fleet, 10000);
    cw_members_leave(fleet.hosts[9]);
    fleet_run(&fleet, 3000);
    uint32_t leaving_count = 0;
    for (uint32_t k = 0; k < fleet.count; k++) {
        const cw_member_t* m = cw_members_find(fleet.hosts[k], fleet_id(9));
        leaving_count += m->info.leaving && m->info.state == CW_MEMBER_ALIVE;
    }
    ck_assert_uint_eq(leaving_count, 40);
    fleet_shutdown(&fleet);
}
END_TEST

/* A refused connection makes the host ineligible for roles at once. A live host refutes the suspicion. */
START_TEST(refused_connection_causes_suspicion) {
    fleet_setup(&fleet, 20, 9);
    fleet_run(&fleet, 10000);
    uint64_t live[64];
    cw_members_suspect(fleet.hosts[1], fleet.now_ms, fleet_id(5));
    ck_assert_uint_eq(cw_members_list_live(fleet.hosts[1], CW_MEMBERS_ELIGIBLE, live, 64), 19);
    fleet_run(&fleet, 3000);
    ck_assert(fleet_is_converged(&fleet));
    fleet_shutdown(&fleet);
}
END_TEST

/* The traffic of a host does not grow with the number of hosts. */
START_TEST(traffic_per_host_is_independent_of_fleet_size) {
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

/* Timing of a fleet that must detect failures within a second, since callers notice them. */
static const cw_members_desc_t quick = {.period_ms = 250, .timeout_ms = 100, .suspect_ms = 700, .retry_ms = 250};

/* Guards against replies that grow with the fleet. During a rolling restart of two hosts per second, views differ all
   the time. When a host replied to each difference with its full view, the traffic per host was 2.2, 3.5 and 4.8 KB/s
   with 60, 240 and 480 hosts, and 18 KB/s with 584 while the updates of their start were still spreading. */
START_TEST(traffic_in_rolling_restart_follows_changes) {
    double per_host[2];
    const uint32_t sizes[2] = {60, 240};
    for (int i = 0; i < 2; i++) {
        fleet_setup_with(&fleet, sizes[i], 10, &quick);
        fleet_run(&fleet, (int64_t)200 * sizes[i]); /* until the updates of the start have spread */
        fleet.bytes = 0;
        for (uint32_t restart = 0; restart < 8; restart++) {
            uint32_t host = restart * 37 % sizes[i];
            cw_members_shutdown(fleet.hosts[host]);
            fleet_start(&fleet, host);
            fleet_run(&fleet, 500);
        }
        per_host[i] = (double)fleet.bytes / sizes[i] / 4;
        fleet_run(&fleet, 3000);
        ck_assert(fleet_is_converged(&fleet));
        fleet_shutdown(&fleet);
    }
    ck_assert_msg(per_host[1] < per_host[0] * 1.25, "%.0f bytes a second at 60, %.0f at 240", per_host[0], per_host[1]);
}
END_TEST

/* All hosts of a large fleet start at the same moment, as after a power failure. Guards against slow convergence: with
   one anti-entropy request per host every two seconds it took 7.5 s with 295 hosts and 11 s with 584. */
START_TEST(simultaneous_start_converges_quickly) {
    fleet_setup_with(&fleet, 240, 11, &quick);
    fleet_run(&fleet, 2000);
    ck_assert(fleet_is_converged(&fleet));
    fleet_shutdown(&fleet);
}
END_TEST

/* The same on small machines that handle 6,000 messages per second. Guards against an overloaded seed: it replied to
   each joining host with its full view, about a hundred messages. Of 584 hosts that joined at once it served only a
   few, and the others retried every 250 ms, so it never caught up. The hosts stayed alone: each polled the source
   itself and considered itself the owner of all engines. */
START_TEST(simultaneous_start_does_not_overload_the_seed) {
    fleet_setup_with(&fleet, 400, 12, &quick);
    fleet.max_messages_per_step = 300;
    fleet_run(&fleet, 3000);
    ck_assert(fleet_is_converged(&fleet));
    fleet_shutdown(&fleet);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, every_host_discovers_every_other);
    tcase_add_test(t, dead_host_is_detected_by_all);
    tcase_add_test(t, restarted_host_is_alive_again);
    tcase_add_loop_test(t, packet_loss_causes_no_false_deaths, 0, 3);
    tcase_add_test(t, suspended_host_declares_nobody_dead);
    tcase_add_test(t, healed_partition_converges);
    tcase_add_test(t, leaving_spreads_within_seconds);
    tcase_add_test(t, refused_connection_causes_suspicion);
    tcase_add_test(t, traffic_per_host_is_independent_of_fleet_size);
    tcase_add_test(t, traffic_in_rolling_restart_follows_changes);
    tcase_add_test(t, simultaneous_start_converges_quickly);
    tcase_add_test(t, simultaneous_start_does_not_overload_the_seed);
}

int main(void) {
    return run_suite("member", add_tests, 120);
}
